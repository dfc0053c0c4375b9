import {pause} from '@chivewick/common';
import type {Logger} from '@chivewick/common';
import type {RecordedOutcome} from './record.js';
import {backoffMs} from './timing.js';

/** Outcomes that became known after this host had lost their partition. */
export interface LateReports {
  add(id: string, intent: string, outcome: RecordedOutcome): void;
  pending(): number;
  /** Settles when all reports are accepted or dropped. */
  idle(): Promise<void>;
}

/**
 * Creates the queue of late reports. Delivery of a report to the partition's
 * owner is retried until the owner has recorded it or `lateReportTimeoutMs`
 * milliseconds have passed.
 *
 * @example
 * const lateReports = createLateReports({deliver, log, lateReportTimeoutMs: 600_000, signal});
 */
export function createLateReports(options: {
  readonly deliver: (
    id: string,
    intent: string,
    outcome: RecordedOutcome,
  ) => Promise<boolean>;
  readonly log: Logger;
  readonly lateReportTimeoutMs: number;
  readonly signal: AbortSignal;
}): LateReports {
  const {deliver, log, lateReportTimeoutMs, signal} = options;
  const deliveries = new Set<Promise<void>>();

  async function deliverWithRetries(
    id: string,
    intent: string,
    outcome: RecordedOutcome,
  ): Promise<void> {
    const deadline = performance.now() + lateReportTimeoutMs;
    for (let attempt = 0; performance.now() < deadline; attempt++) {
      if (signal.aborted) break;
      if (await deliver(id, intent, outcome)) {
        log.event('lateReportAccepted', {intent, outcome: outcome.kind});
        return;
      }
      await pause(backoffMs(attempt), signal);
    }
    log.event('lateReportDropped', {intent, outcome: outcome.kind});
  }

  return {
    add(id, intent, outcome) {
      const delivery: Promise<void> = deliverWithRetries(
        id,
        intent,
        outcome,
      ).finally(() => deliveries.delete(delivery));
      deliveries.add(delivery);
    },
    pending: () => deliveries.size,
    idle: async () => void (await Promise.all(deliveries)),
  };
}
