import type {Failure, Logger, Random, RequestId} from '@chivewick/common';
import type {Dialer} from '@chivewick/tunnels';
import type {RequestLimits} from '@chivewick/coordination';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {BufferedBytes} from './byte-buffer.js';
import type {EndpointTable} from './endpoint-table.js';
import type {GatewayMetrics} from './metrics.js';
import type {Coordination} from './coordination/index.js';
import type {PathProbe} from './path-probe.js';
import type {PipeUsage} from './pipe-usage.js';
import type {Quarantine} from './quarantine/index.js';
import type {RetryAllowance} from './retry-allowance.js';
import type {StreamProgress} from './stream-attempt.js';
import type {
  Dialect,
  EngineControl,
  RequestFacts,
  RouteRule,
  ServiceRule,
  Workspace,
} from './types.js';
import type {Upstream} from './upstream.js';

/** A caller's request that has been admitted and read, with its response. */
export interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly requestId: RequestId;
  readonly facts: RequestFacts;
  readonly rule: RouteRule;
  readonly service: ServiceRule;
  readonly workspace?: Workspace;
  readonly body?: Buffer;
  readonly configVersion: number;
  /** Arrival time, by `performance.now()`. */
  readonly arrivedMs: number;
  /** Deadline, by `performance.now()`. */
  readonly deadlineAtMs: number;
}

/** Dependencies that all exchanges share. */
export interface ExchangeContext {
  readonly dialect: Dialect;
  readonly upstream: Upstream;
  readonly table: EndpointTable;
  readonly allowance: RetryAllowance;
  readonly control: EngineControl;
  readonly probe: PathProbe;
  readonly metrics: GatewayMetrics;
  readonly random: Random;
  readonly log: Logger;
  /** Bytes of responses to plain requests. */
  readonly buffered: BufferedBytes;
  readonly coordination: Coordination;
  /** What endpoints have stated about the requests that they take. */
  readonly limits: RequestLimits;
  readonly pipes: PipeUsage;
  readonly quarantine: Quarantine;
  readonly dialer: Dialer;
  /** Aborted when this host stops before the requests in progress are complete. */
  readonly gaveUp: AbortSignal;
  /** Newest fencing number that this host knows. */
  fence(): number | undefined;
}

/** Result of an exchange. */
export type ExchangeResult =
  | {
      readonly kind: 'served';
      readonly status: number;
      readonly sends: number;
      readonly stream?: StreamProgress;
      /** Size of a response that is buffered whole. */
      readonly bytes?: number;
    }
  | {readonly kind: 'caller_left'; readonly sends: number}
  | {readonly kind: 'failed'; readonly err: Failure; readonly sends: number}
  /** The response had started, so its connection was closed. */
  | {
      readonly kind: 'broken_off';
      readonly err: Failure;
      readonly sends: number;
    };
