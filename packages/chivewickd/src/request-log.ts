import type {RequestId} from '@chivewick/common';
import type {Hop} from './observability/hops.js';

/** A finished request, as printed by `chivewick requests`. */
export interface RequestRecord {
  readonly requestId: RequestId;
  readonly class: string;
  readonly workspace?: string;
  readonly outcome: string;
  readonly durationMs: number;
  /** Attempts of a model request, with the stages of each. */
  readonly hops?: readonly Hop[];
}

/** The most recently finished requests of this host. */
export interface RequestLog {
  add(record: RequestRecord): void;
  find(requestId: RequestId): RequestRecord | undefined;
}

const MAX_RECORDS = 2_000;

/** Creates an empty log that keeps the newest 2,000 records. */
export function createRequestLog(): RequestLog {
  const records = new Map<RequestId, RequestRecord>();
  return {
    add(record) {
      records.set(record.requestId, record);
      if (records.size <= MAX_RECORDS) return;
      const [oldest] = records.keys();
      records.delete(oldest);
    },
    find: requestId => records.get(requestId),
  };
}
