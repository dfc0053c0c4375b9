import {setTimeout as sleep} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const SETTLE_MS = 100;
const COLLECTIONS = 3;

/** Heap in use after full collections with pauses between them, in bytes. */
export async function heapBytes(): Promise<number> {
  for (let at = 0; at < COLLECTIONS; at++) {
    collectGarbage();
    await sleep(SETTLE_MS);
  }
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

/**
 * Heap that the result of `build` keeps reachable, in bytes. `held` is the
 * result, which stays referenced until after the second reading.
 */
export async function heapOf<T>(
  build: () => Promise<T>,
): Promise<{bytes: number; held: T}> {
  const before = await heapBytes();
  const held = await build();
  return {bytes: (await heapBytes()) - before, held};
}

/** Processor time of this process while `run` runs, in microseconds. */
export async function cpuUs(run: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage();
  await run();
  const used = process.cpuUsage(before);
  return used.user + used.system;
}
