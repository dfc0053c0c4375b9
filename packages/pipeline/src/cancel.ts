/** Cancels the engine sessions of requests that did not complete. */
import type {Route} from '@chivewick/engines';
import type {Attempt, Context, Run} from './run-state.js';
import type {PipelineEvent} from './types.js';

export interface Canceller {
  /**
   * Cancels the sessions of a run: immediately if the request failed, after
   * `resumeWindowMs` if its caller disconnected. `last` is the last event.
   */
  scheduleCancel(run: Run, last: PipelineEvent | undefined): void;
  /** Runs all pending cancels now; resolves when they are done. */
  close(): Promise<void>;
}

/**
 * Creates the canceller of a pipeline.
 *
 * @example
 * const canceller = createCanceller(ctx);
 */
export function createCanceller(ctx: Context): Canceller {
  const pendingCancels = new Map<NodeJS.Timeout, () => Promise<void>>();

  return {
    scheduleCancel(run, last) {
      // This doesn't cancel a session that another host has taken over, because
      // its engines refuse the older epoch.
      const cancel = () => cancelRun(ctx, run);
      const delayMs = last?.type === 'failed' ? 0 : ctx.limits.resumeWindowMs;
      if (delayMs === 0) {
        void cancel();
        return;
      }
      const timer = setTimeout(() => {
        pendingCancels.delete(timer);
        void cancel();
      }, delayMs).unref();
      pendingCancels.set(timer, cancel);
    },
    async close() {
      const cancels = [...pendingCancels];
      pendingCancels.clear();
      for (const [timer] of cancels) clearTimeout(timer);
      await Promise.all(cancels.map(([, cancel]) => cancel()));
    },
  };
}

async function cancelRun(ctx: Context, run: Run): Promise<void> {
  const attempts: Attempt[] = [run.attempt, ...run.replaced];
  const {epoch} = run.attempt;
  const stages: Route = attempts.flatMap(({route}) => route);
  const addresses = new Set(stages.map(({address}) => address));
  await Promise.all(
    [...addresses].map(address =>
      ctx.engines.cancel(address, run.request.id, epoch),
    ),
  );
}

/**
 * Cancels the sessions of replaced attempts on endpoints that the current route
 * does not use.
 *
 * @example
 * cancelReplaced(ctx, run);
 */
export function cancelReplaced(ctx: Context, run: Run): void {
  const used = new Set(run.attempt.route.map(({address}) => address));
  for (const {route, epoch} of run.replaced.splice(0))
    for (const {address} of route)
      if (!used.has(address))
        void ctx.engines.cancel(address, run.request.id, epoch);
}
