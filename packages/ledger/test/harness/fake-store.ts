import {fail, ok, type Random} from '@chivewick/common';
import type {ObjectApi, StoredObject, WriteOutcome} from '@chivewick/platform';
import {delay, type Gate} from './gate.js';

/** Faults of the store; a number is the count of writes to affect. */
export interface StoreFaults {
  outage: boolean;
  /** The write takes effect and its response is lost. */
  loseAnswers: number;
  /** The write is lost before it takes effect. */
  loseWrites: number;
  /** The response is lost and the write takes effect 2 s later. */
  delayWrites: number;
}

/** In-memory object API with injected faults. */
export interface FakeStore {
  readonly faults: StoreFaults;
  readonly objects: Map<string, {version: number; value: string}>;
  writes(): number;
  /** Largest value written, in bytes. */
  largestBytes(): number;
  api(gate: Gate): ObjectApi;
}

const TIMEOUT_MS = 100;
const WRITE_DELAY_MS = 2_000;

export function createFakeStore(random: Random): FakeStore {
  const objects: FakeStore['objects'] = new Map();
  const faults = {outage: false, loseAnswers: 0, loseWrites: 0, delayWrites: 0};
  let version = 0;
  let writes = 0;
  let largest = 0;
  const latency = () => delay(1 + random.int(8));
  const consumeFault = (name: 'loseAnswers' | 'loseWrites' | 'delayWrites') =>
    faults[name] > 0 && faults[name]-- > 0;

  function applyWrite(
    key: string,
    value: string | undefined,
    expected: number | 'absent',
  ): WriteOutcome {
    const current = objects.get(key)?.version ?? 'absent';
    if (current !== expected) return {kind: 'conflict'};
    version++;
    largest = Math.max(largest, Buffer.byteLength(value ?? ''));
    if (value === undefined) objects.delete(key);
    else objects.set(key, {version, value});
    return {kind: 'written', version};
  }

  async function write(
    key: string,
    value: string | undefined,
    expected: number | 'absent',
  ): Promise<WriteOutcome> {
    await latency();
    writes++;
    const noResponse: WriteOutcome = {kind: 'unknown', message: 'no answer'};
    if (faults.outage || consumeFault('loseWrites')) {
      await delay(TIMEOUT_MS);
      return noResponse;
    }
    if (consumeFault('delayWrites')) {
      setTimeout(() => applyWrite(key, value, expected), WRITE_DELAY_MS);
      await delay(TIMEOUT_MS);
      return noResponse;
    }
    const outcome = applyWrite(key, value, expected);
    if (!consumeFault('loseAnswers')) return latency().then(() => outcome);
    await delay(TIMEOUT_MS);
    return noResponse;
  }

  async function read(key: string) {
    await latency();
    if (faults.outage) {
      await delay(TIMEOUT_MS);
      return fail('platform_unavailable', 'no answer');
    }
    const found = objects.get(key);
    if (found === undefined) return ok(undefined);
    const object = {...found, key, value: JSON.parse(found.value) as unknown};
    return latency().then(() => ok(object as StoredObject));
  }

  const withGate = async <T>(gate: Gate, operation: () => Promise<T>) => {
    await gate.pass();
    const result = await operation();
    await gate.pass();
    return result;
  };
  return {
    faults,
    objects,
    writes: () => writes,
    largestBytes: () => largest,
    api: gate => ({
      get: key => withGate(gate, () => read(key)),
      put: (key, value, expected) => {
        const text = JSON.stringify(value);
        return withGate(gate, () => write(key, text, expected));
      },
      remove: (key, expected) =>
        withGate(gate, () => write(key, undefined, expected)),
      list: () => Promise.reject(new Error('not used by the ledger')),
      watch: () => {
        throw new Error('not used by the ledger');
      },
    }),
  };
}
