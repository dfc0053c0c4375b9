/** Batch slots of the engine stand-in and the duration of steps. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
  waitWhileFrozen,
  recordLoad,
  type Engine,
  type Session,
} from './state.js';

/**
 * Occupies a batch slot for the cost of a step, in microseconds. Waiting steps
 * with the lowest priority number get a slot first.
 *
 * @example
 * await occupyBatchSlot(engine, session, 8 * 400);
 */
export async function occupyBatchSlot(
  engine: Engine,
  session: Session,
  costUs: number,
): Promise<void> {
  countStep(engine);
  await waitWhileFrozen(engine);
  await acquireBatchSlot(engine, session.priority);
  try {
    const {slow, jitterMs} = engine.faults;
    const jitterUs = jitterMs === 0 ? 0 : engine.random.int(jitterMs * 1000);
    session.pendingUs += costUs * slow + jitterUs;
    // Timers have a resolution of 1 ms; the remainder is carried over to later steps.
    if (session.pendingUs >= 1000) {
      const startMs = performance.now();
      await sleep(Math.floor(session.pendingUs / 1000), undefined, {
        signal: engine.stopController.signal,
      });
      session.pendingUs -= (performance.now() - startMs) * 1000;
    }
  } finally {
    engine.running -= 1;
    engine.queue.shift()?.start();
    recordLoad(engine);
  }
  await waitWhileFrozen(engine);
}

function countStep(engine: Engine): void {
  const {faults} = engine;
  engine.steps += 1;
  if (faults.crashAfterSteps > 0 && --faults.crashAfterSteps === 0)
    engine.crash();
  if (faults.freezeAfterSteps > 0 && --faults.freezeAfterSteps === 0)
    faults.freeze = true;
}

async function acquireBatchSlot(
  engine: Engine,
  priority: number,
): Promise<void> {
  if (engine.running >= engine.options.maxBatch) {
    await new Promise<void>(start => {
      const after = engine.queue.findIndex(step => step.priority > priority);
      const at = after === -1 ? engine.queue.length : after;
      engine.queue.splice(at, 0, {priority, start});
    });
  }
  engine.running += 1;
  recordLoad(engine);
}
