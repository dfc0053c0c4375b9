import {fail, ok, type Random} from '@chivewick/common';
import type {
  ObjectApi,
  ObjectChange,
  StoredObject,
  WriteOutcome,
} from '@chivewick/platform';
import {delay, type Gate} from './gate.js';

/** Injected faults; a number is how many of the next writes are affected. */
export interface PlatformFaults {
  outage: boolean;
  /** The write takes effect and its response is lost. */
  loseResponses: number;
  /** The write is lost before it takes effect. */
  loseWrites: number;
  /** The response is lost and the write takes effect later. */
  delayWrites: number;
}

const TIMEOUT_MS = 200;
const LATE_EFFECT_MS = 1_500;

/** Creates an in-memory object store on the test clock. */
export function createFakePlatform(
  random: Random,
  onPut: (key: string, value: unknown) => void,
) {
  const objects = new Map<string, StoredObject>();
  const watchers = new Set<(change: ObjectChange) => void>();
  const faults: PlatformFaults = {
    outage: false,
    loseResponses: 0,
    loseWrites: 0,
    delayWrites: 0,
  };
  let version = 0;
  const latency = () => delay(1 + random.int(4));
  const consumeFault = (name: 'loseResponses' | 'loseWrites' | 'delayWrites') =>
    faults[name] > 0 && faults[name]-- > 0;

  function applyWrite(
    key: string,
    json: string,
    expected: number | 'absent',
  ): WriteOutcome {
    if ((objects.get(key)?.version ?? 'absent') !== expected)
      return {kind: 'conflict'};
    version++;
    const object = {key, version, value: JSON.parse(json) as unknown};
    objects.set(key, object);
    for (const notify of watchers) notify(object);
    return {kind: 'written', version};
  }

  async function put(
    key: string,
    json: string,
    expected: number | 'absent',
  ): Promise<WriteOutcome> {
    await latency();
    const lost = {kind: 'unknown', message: 'no answer'} as const;
    if (faults.outage || consumeFault('loseWrites'))
      return delay(TIMEOUT_MS, lost);
    if (consumeFault('delayWrites')) {
      setTimeout(() => applyWrite(key, json, expected), LATE_EFFECT_MS);
      return delay(TIMEOUT_MS, lost);
    }
    const outcome = applyWrite(key, json, expected);
    return consumeFault('loseResponses')
      ? delay(TIMEOUT_MS, lost)
      : latency().then(() => outcome);
  }

  async function read<T>(value: () => T) {
    await latency();
    if (!faults.outage) return ok(value());
    await delay(TIMEOUT_MS);
    return fail('platform_unavailable', 'no answer');
  }

  async function* watch(prefix: string, since: number, signal: AbortSignal) {
    const queue = [...objects.values()].filter(o => o.version > since);
    let wake = () => {};
    const notify = (change: ObjectChange) => {
      queue.push(change as StoredObject);
      wake();
    };
    watchers.add(notify);
    signal.addEventListener('abort', () => wake());
    while (!signal.aborted) {
      const change = queue.shift();
      if (change?.key.startsWith(prefix)) yield change;
      if (queue.length === 0)
        await new Promise<void>(resolve => {
          wake = resolve;
          if (signal.aborted) resolve();
        });
    }
    watchers.delete(notify);
  }

  const through = async <T>(gate: Gate, operation: () => Promise<T>) => {
    await gate.pass();
    const result = await operation();
    await gate.pass();
    return result;
  };
  return {
    faults,
    get: <T>(key: string) => objects.get(key) as StoredObject<T> | undefined,
    /** Writes unconditionally, as if by another process. */
    set: (key: string, value: unknown) =>
      applyWrite(
        key,
        JSON.stringify(value),
        objects.get(key)?.version ?? 'absent',
      ),
    api: (gate: Gate): ObjectApi => ({
      get: key => through(gate, () => read(() => objects.get(key))),
      list: prefix =>
        through(gate, () =>
          read(() =>
            [...objects.values()].filter(o => o.key.startsWith(prefix)),
          ),
        ),
      put: (key, value, expected) => {
        const json = JSON.stringify(value);
        onPut(key, value);
        return through(gate, () => put(key, json, expected));
      },
      remove: () => Promise.reject(new Error('not used by orders')),
      async *watch(prefix, since, signal) {
        for await (const change of watch(prefix, since, signal)) {
          await gate.pass();
          yield change;
        }
      },
    }),
  };
}
