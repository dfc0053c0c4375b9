/** Settings of a ledger; all have defaults. Times are in milliseconds. */
export interface LedgerSettings {
  /** Number of partitions; the same on all hosts of a firm. */
  readonly partitions: number;
  /** Time for which intents are collected before a commit. */
  readonly commitIntervalMs: number;
  /** Time for which outcomes wait to share a commit with an intent. */
  readonly outcomeIntervalMs: number;
  /**
   * Writes to the platform per second by all hosts together. Each host uses a
   * share proportional to the partitions that it owns, so the total is kept for
   * any number of hosts without coordination.
   */
  readonly writesPerSecond: number;
  /** Time for which a call waits for the platform before it is sent. */
  readonly outageWaitMs: number;
  /** Time within which a service must answer. */
  readonly serviceTimeoutMs: number;
  /** Time for a live former owner to finish its calls and release a partition. */
  readonly handoverTimeoutMs: number;
  /** Time for which a repeated call waits for the report of a live former owner. */
  readonly settleWaitMs: number;
  /** Time for which delivery of a late report to the new owner is retried. */
  readonly lateReportTimeoutMs: number;
  /** Age at which keys expire. */
  readonly expiryMs: number;
  /** Largest response body kept for replay, in bytes. */
  readonly keptBodyBytes: number;
  /** Size of a partition object above which finished calls are sealed, in bytes. */
  readonly sealBytes: number;
  /** Maximum size of a partition object, in bytes. */
  readonly maxObjectBytes: number;
}

/**
 * Default settings. 45 writes/s leave a tenth of the design limit of 50 writes/s
 * for takeovers and for bursts after an idle period. The platform accepts values
 * up to 1 MB; about half of that is left as a margin for errors of the size
 * estimate.
 */
export const LEDGER_DEFAULTS: LedgerSettings = {
  partitions: 16,
  commitIntervalMs: 5,
  outcomeIntervalMs: 250,
  writesPerSecond: 45,
  outageWaitMs: 5_000,
  serviceTimeoutMs: 30_000,
  handoverTimeoutMs: 1_000,
  settleWaitMs: 2_000,
  lateReportTimeoutMs: 600_000,
  expiryMs: 24 * 3_600_000,
  keptBodyBytes: 16 * 1024,
  sealBytes: 256 * 1024,
  maxObjectBytes: 480 * 1024,
};

/** Longest accepted Idempotency-Key, in characters. */
export const MAX_KEY_LENGTH = 255;
