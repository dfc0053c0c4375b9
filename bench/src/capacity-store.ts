import {ok, type Result} from '@chivewick/common';
import type {ObjectApi, StoredObject} from '@chivewick/platform';

/** An in-memory object API that counts its writes. */
export interface MemoryStore {
  readonly api: ObjectApi;
  writes(): number;
  storedBytes(): number;
}

/** Creates an empty store; values are stored as JSON strings. */
export function createMemoryStore(): MemoryStore {
  const objects = new Map<string, {version: number; text: string}>();
  let version = 0;
  const read = (key: string): StoredObject | undefined => {
    const object = objects.get(key);
    if (object === undefined) return undefined;
    return {key, version: object.version, value: JSON.parse(object.text)};
  };
  const api: ObjectApi = {
    get: key => Promise.resolve(ok(read(key))),
    list(prefix): Promise<Result<readonly StoredObject[]>> {
      const keys = [...objects.keys()].filter(key => key.startsWith(prefix));
      return Promise.resolve(ok(keys.map(key => read(key)!)));
    },
    put(key, value, expected) {
      const current = objects.get(key)?.version ?? 'absent';
      if (current !== expected) return Promise.resolve({kind: 'conflict'});
      version += 1;
      objects.set(key, {version, text: JSON.stringify(value)});
      return Promise.resolve({kind: 'written', version});
    },
    remove(key) {
      objects.delete(key);
      version += 1;
      return Promise.resolve({kind: 'written', version});
    },
    async *watch() {},
  };
  return {
    api,
    writes: () => version,
    storedBytes: () =>
      [...objects.values()].reduce((sum, {text}) => sum + text.length, 0),
  };
}
