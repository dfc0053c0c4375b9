import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Buckets around the latency goals: 100 ms for calls, 500 ms for streams. */
const LATENCY_BUCKETS_S = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2.5, 10, 20];

/** Metrics of a gateway; see docs/OPERATIONS.md. */
export interface GatewayMetrics {
  readonly registry: Registry;
  readonly requests: Counter<'kind' | 'outcome'>;
  readonly firstByte: Histogram<'kind'>;
  readonly resent: Counter<'reason'>;
  readonly suspected: Counter;
  readonly retries: Counter<'result'>;
  readonly repairs: Counter<'outcome'>;
  readonly quarantined: Counter<'evidence'>;
  readonly intakeClosed: Counter<'reason'>;
  readonly outdated: Counter<'reason'>;
  /** Exports the bytes that callers' requests hold. */
  observeIntakeBytes(total: () => number): void;
}

/**
 * Creates the metrics in a separate registry.
 *
 * @example
 * metrics.requests.inc({kind: 'stream', outcome: 'served'});
 */
export function createGatewayMetrics(): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: 'chivewick_gateway_requests_total',
      help: 'Requests of callers, by kind and outcome.',
      labelNames: ['kind', 'outcome'],
      registers,
    }),
    firstByte: new Histogram({
      name: 'chivewick_gateway_first_byte_seconds',
      help: 'Time from a request to the first byte of its answer.',
      labelNames: ['kind'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    resent: new Counter({
      name: 'chivewick_gateway_resent_total',
      help: 'Requests sent to another endpoint, by reason.',
      labelNames: ['reason'],
      registers,
    }),
    outdated: new Counter({
      name: 'chivewick_gateway_outdated_total',
      help: 'Contents of the store that were not used because they are outdated, by reason.',
      labelNames: ['reason'],
      registers,
    }),
    suspected: new Counter({
      name: 'chivewick_gateway_suspected_total',
      help: 'Endpoints suspected to be down.',
      registers,
    }),
    retries: new Counter({
      name: 'chivewick_gateway_retries_total',
      help: 'Retries by result: allowed, or denied for lack of allowance.',
      labelNames: ['result'],
      registers,
    }),
    repairs: new Counter({
      name: 'chivewick_gateway_repairs_total',
      help: 'Choices of replacements in the path of a stream: granted or denied by the coordinator, or made locally.',
      labelNames: ['outcome'],
      registers,
    }),
    quarantined: new Counter({
      name: 'chivewick_gateway_quarantined_total',
      help: 'Requests rejected because requests like them crash endpoints, proven or suspected.',
      labelNames: ['evidence'],
      registers,
    }),
    intakeClosed: new Counter({
      name: 'chivewick_gateway_intake_closed_total',
      help: 'Requests and connections of callers closed to protect this process, by reason.',
      labelNames: ['reason'],
      registers,
    }),
    observeIntakeBytes(total) {
      new Gauge({
        name: 'chivewick_gateway_intake_bytes',
        help: 'Bytes of request bodies and unsent responses.',
        registers,
        collect() {
          this.set(total());
        },
      });
    },
  };
}
