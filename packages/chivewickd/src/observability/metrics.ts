import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

const REQUEST_BUCKETS_S = [
  0.005, 0.02, 0.05, 0.1, 0.25, 0.56, 1, 2.5, 5, 15, 60,
];
const TOKEN_BUCKETS_S = [
  0.005, 0.01, 0.02, 0.035, 0.053, 0.08, 0.15, 0.3, 0.6, 1.2, 5,
];

/** The daemon's metrics; names are listed in docs/operators/metrics.md. */
export interface Metrics {
  readonly registry: Registry;
  readonly requests: Counter<'kind' | 'class'>;
  readonly requestDuration: Histogram<'class'>;
  readonly firstToken: Histogram;
  readonly tokenInterval: Histogram;
  readonly recoveries: Counter<'fault'>;
  readonly recoverySilence: Histogram;
  readonly ledgerCalls: Counter<'outcome'>;
  readonly platformCalls: Counter<'operation' | 'outcome'>;
  /** Registers a gauge whose value is read when metrics are scraped. */
  gauge(name: string, help: string, read: () => number): void;
  /** Registers a gauge with one label, read when metrics are scraped. */
  labelledGauge(
    name: string,
    help: string,
    label: string,
    read: () => Iterable<readonly [string, number]>,
  ): void;
}

/**
 * Creates the metrics in a separate registry.
 *
 * @example
 * const metrics = createMetrics();
 * metrics.requests.inc({kind: 'ok', class: 'draft'});
 */
export function createMetrics(): Metrics {
  const registry = new Registry();
  collectDefaultMetrics({register: registry});
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: 'chivewick_requests_total',
      help: 'Finished requests by outcome and class.',
      labelNames: ['kind', 'class'],
      registers,
    }),
    requestDuration: new Histogram({
      name: 'chivewick_request_duration_seconds',
      help: 'Time from request to end of answer.',
      labelNames: ['class'],
      buckets: REQUEST_BUCKETS_S,
      registers,
    }),
    firstToken: new Histogram({
      name: 'chivewick_first_token_seconds',
      help: 'Time from request to first token.',
      buckets: REQUEST_BUCKETS_S,
      registers,
    }),
    tokenInterval: new Histogram({
      name: 'chivewick_token_interval_seconds',
      help: 'Time between two tokens of a stream.',
      buckets: TOKEN_BUCKETS_S,
      registers,
    }),
    recoveries: new Counter({
      name: 'chivewick_recoveries_total',
      help: 'Stages left because of a fault, by the fault that was seen.',
      labelNames: ['fault'],
      registers,
    }),
    recoverySilence: new Histogram({
      name: 'chivewick_recovery_silence_seconds',
      help: 'Time without tokens that a caller saw during a recovery.',
      buckets: TOKEN_BUCKETS_S,
      registers,
    }),
    ledgerCalls: new Counter({
      name: 'chivewick_ledger_calls_total',
      help: 'Non-idempotent calls by outcome.',
      labelNames: ['outcome'],
      registers,
    }),
    platformCalls: new Counter({
      name: 'chivewick_platform_calls_total',
      help: 'Calls to the object API by operation and outcome.',
      labelNames: ['operation', 'outcome'],
      registers,
    }),
    gauge(name, help, read) {
      new Gauge({
        name,
        help,
        registers,
        collect() {
          this.set(read());
        },
      });
    },
    labelledGauge(name, help, label, read) {
      new Gauge({
        name,
        help,
        labelNames: [label],
        registers,
        collect() {
          this.reset();
          for (const [value, figure] of read())
            this.set({[label]: value}, figure);
        },
      });
    },
  };
}
