import {fail, ok, type Result} from '@chivewick/common';
import type {ObjectApi, StoredObject, WriteOutcome} from '@chivewick/platform';

/**
 * Fault of a conditional write: the response is lost, with or without effect.
 */
export type WriteFault = 'lost-after-effect' | 'lost-before-effect';

/** An in-memory object store with injected faults and a call log. */
export interface FakeStore extends ObjectApi {
  readonly objects: Map<string, StoredObject>;
  readonly calls: string[];
  /** Injects faults into the next writes to keys with this prefix, in order. */
  failWrites(prefix: string, ...faults: WriteFault[]): void;
  /**
   * Runs `run` before the next write of this key, such as a concurrent edit.
   */
  beforeWrite(key: string, run: () => Promise<void>): void;
  down: boolean;
}

export function createFakeStore(): FakeStore {
  const objects = new Map<string, StoredObject>();
  const faults: {prefix: string; fault: WriteFault}[] = [];
  const hooks = new Map<string, () => Promise<void>>();
  let version = 0;
  const unavailable = () => fail('platform_unavailable', 'store is down');
  const read = <T>(value: T): Result<T> =>
    store.down ? unavailable() : ok(value);
  const store: FakeStore = {
    objects,
    calls: [],
    down: false,
    failWrites: (prefix, ...kinds) =>
      faults.push(...kinds.map(fault => ({prefix, fault}))),
    beforeWrite: (key, run) => hooks.set(key, run),
    get: async key => {
      store.calls.push(`get ${key}`);
      return read(objects.get(key));
    },
    list: async prefix =>
      read([...objects.values()].filter(({key}) => key.startsWith(prefix))),
    put: async (key, value, expected): Promise<WriteOutcome> => {
      store.calls.push(`put ${key}`);
      const hook = hooks.get(key);
      hooks.delete(key);
      await hook?.();
      if (store.down) return {kind: 'unknown', message: 'store is down'};
      const at = faults.findIndex(({prefix}) => key.startsWith(prefix));
      const [found] = at < 0 ? [] : faults.splice(at, 1);
      const lost: WriteOutcome = {kind: 'unknown', message: 'response lost'};
      if (found?.fault === 'lost-before-effect') return lost;
      if ((objects.get(key)?.version ?? 'absent') !== expected)
        return {kind: 'conflict'};
      objects.set(key, {key, version: ++version, value});
      return found === undefined ? {kind: 'written', version} : lost;
    },
    remove: async (key, expected): Promise<WriteOutcome> => {
      if (objects.get(key)?.version !== expected) return {kind: 'conflict'};
      objects.delete(key);
      return {kind: 'written', version: ++version};
    },
    watch: async function* () {},
  };
  return store;
}
