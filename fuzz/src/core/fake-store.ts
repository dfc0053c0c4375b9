import {ok} from '@chivewick/common';
import type {ObjectApi, StoredObject} from '@chivewick/platform';

/** An in-memory object store without injected faults. */
export interface FakeStore extends ObjectApi {
  readonly objects: Map<string, StoredObject>;
}

/**
 * Creates an empty in-memory object store.
 *
 * @example
 * const store = createFakeStore();
 */
export function createFakeStore(): FakeStore {
  const objects = new Map<string, StoredObject>();
  let version = 0;
  return {
    objects,
    get: async key => ok(objects.get(key)),
    list: async prefix =>
      ok([...objects.values()].filter(({key}) => key.startsWith(prefix))),
    async put(key, value, expected) {
      if ((objects.get(key)?.version ?? 'absent') !== expected)
        return {kind: 'conflict'};
      version += 1;
      const copy: unknown = JSON.parse(JSON.stringify(value));
      objects.set(key, {key, version, value: copy});
      return {kind: 'written', version};
    },
    async remove(key, expected) {
      if (objects.get(key)?.version !== expected) return {kind: 'conflict'};
      objects.delete(key);
      version += 1;
      return {kind: 'written', version};
    },
    // eslint-disable-next-line require-yield
    async *watch(_prefix, _since, signal) {
      await new Promise<void>(resolve => {
        if (signal.aborted) return resolve();
        signal.addEventListener('abort', () => resolve(), {once: true});
      });
    },
  };
}
