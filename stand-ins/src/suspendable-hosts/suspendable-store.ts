import {fail, ok, type Random, type Result} from '@chivewick/common';
import {consumeFault, type HostFaults} from './host-faults.js';
import {
  runStep,
  runOutsideHosts,
  type SuspendableHost,
} from './suspendable-time.js';

// The tests of the platform package use these stand-ins, so its types can't be
// imported here; structurally equal types are declared instead.
/** An object of the store. */
export interface SuspendableObject {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}
/** Version that a write expects. */
export type SuspendableExpected = number | 'absent';
/** Outcome of a write. */
export type SuspendableOutcome =
  | {readonly kind: 'written'; readonly version: number}
  | {readonly kind: 'conflict'}
  | {readonly kind: 'unknown'; readonly message: string};

/**
 * Creates a versioned store in memory with one client per process. A client has
 * the reads and conditional writes of the object API.
 *
 * @example
 * const store = createSuspendableStore(faults, random);
 * const platform = store.clientOf(host);
 */
export function createSuspendableStore(faults: HostFaults, random: Random) {
  const objects = new Map<string, SuspendableObject>();
  let version = 0;
  let writes = 0;
  const apply = (
    key: string,
    value: unknown,
    expected: SuspendableExpected,
  ) => {
    if ((objects.get(key)?.version ?? 'absent') !== expected) return undefined;
    version += 1;
    writes += 1;
    if (value === undefined) objects.delete(key);
    else objects.set(key, {key, version, value: structuredClone(value)});
    return version;
  };
  const delayMessage = (process: SuspendableHost) =>
    new Promise<void>(resolve => {
      const ms = 1 + random.int(5) + random.int(faults.slowMs + 1);
      runOutsideHosts(() => setTimeout(() => runStep(process, resolve), ms));
    });
  const write = async (
    process: SuspendableHost,
    key: string,
    value: unknown,
    expected: SuspendableExpected,
  ): Promise<SuspendableOutcome> => {
    const copy = structuredClone(value);
    await delayMessage(process);
    const lost: SuspendableOutcome = {kind: 'unknown', message: 'no answer'};
    if (faults.outage || faults.isolatedHosts.has(process.host)) return lost;
    if (consumeFault(faults, 'lateWrites')) {
      const ms = random.int(3_000);
      runOutsideHosts(() =>
        setTimeout(() => void apply(key, copy, expected), ms),
      );
      return lost;
    }
    const written = apply(key, copy, expected);
    const responseLost = consumeFault(faults, 'loseWriteAnswers');
    await delayMessage(process);
    if (responseLost) return lost;
    return written === undefined
      ? {kind: 'conflict'}
      : {kind: 'written', version: written};
  };
  const clientOf = (process: SuspendableHost) => ({
    async get(key: string): Promise<Result<SuspendableObject | undefined>> {
      await delayMessage(process);
      if (faults.outage || faults.isolatedHosts.has(process.host))
        return fail('platform_unavailable', 'outage');
      const found = structuredClone(objects.get(key));
      await delayMessage(process);
      return ok(found);
    },
    put: (key: string, value: unknown, expected: SuspendableExpected) =>
      write(process, key, value, expected),
    remove: (key: string, expected: SuspendableExpected) =>
      write(process, key, undefined, expected),
  });
  return {
    clientOf,
    read: (key: string) => objects.get(key)?.value,
    writes: () => writes,
  };
}
