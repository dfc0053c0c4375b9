/** Sends a request; the signal aborts when its response is no longer needed. */
export type Send<T> = (signal: AbortSignal) => Promise<T>;

/** Options of a hedged request. */
export interface HedgeOptions<T> {
  /** Whether a response is good enough to use; by default every response is. */
  readonly isGood?: (response: T) => boolean;
  /**
   * Whether the backup may be sent; called when the delay has passed, for example
   * `() => budget.take()`.
   */
  readonly mayHedge?: () => boolean;
}

/**
 * Sends a repeatable request, and sends it once more to another endpoint if there is
 * no response after a delay. The first good response is used and the other request
 * is aborted. A request that fails before the delay is not hedged, because retries
 * have their own rules. If neither response is good, the last bad response is
 * returned or the last error is thrown. See Dean and Barroso, "The Tail at Scale"
 * (2013).
 *
 * @example
 * const res = await hedge(s => send(first, s), s => send(second, s), delay.delayMs());
 */
export function hedge<T>(
  primary: Send<T>,
  backup: Send<T>,
  delayMs: number,
  {isGood = () => true, mayHedge = () => true}: HedgeOptions<T> = {},
): Promise<T> {
  return new Promise((resolve, reject) => {
    const sent: AbortController[] = [];
    let pending = 0;
    // `setTimeout` would fire immediately for an infinite delay.
    const timer = Number.isFinite(delayMs)
      ? setTimeout(() => {
          if (mayHedge()) void send(backup);
        }, delayMs)
      : undefined;

    function settle(complete: () => void): void {
      clearTimeout(timer);
      for (const controller of sent) controller.abort();
      complete();
    }

    async function send(request: Send<T>): Promise<void> {
      const controller = new AbortController();
      sent.push(controller);
      pending += 1;
      try {
        const response = await request(controller.signal);
        pending -= 1;
        if (isGood(response) || pending === 0) settle(() => resolve(response));
      } catch (err) {
        pending -= 1;
        if (pending === 0) settle(() => reject(err));
      }
    }

    void send(primary);
  });
}
