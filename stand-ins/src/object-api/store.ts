/** An object of the store. */
export interface StandInObject {
  key: string;
  version: number;
  value: unknown;
}

/** A change of an object; `value` is missing if the object was removed. */
export interface StandInChange {
  key: string;
  version: number;
  value?: unknown;
}

/** Objects whose versions increase with every change of any object. */
export interface ObjectStore {
  get(key: string): StandInObject | undefined;
  list(prefix: string): StandInObject[];
  /** Writes if the version matches (0 for an absent object) and returns the new
   * version; undefined on a conflict. */
  put(key: string, value: unknown, expected: number): number | undefined;
  /** Removes if the version matches and returns the new version; undefined on a
   * conflict. */
  remove(key: string, expected: number): number | undefined;
  changesSince(prefix: string, since: number): StandInChange[];
  /** Calls the listener for each change; returns a function that unsubscribes. */
  onChange(listener: (change: StandInChange) => void): () => void;
  /** Version of the last change. */
  version(): number;
}

const MAX_HISTORY = 10_000;

/** Creates an empty store. */
export function createObjectStore(): ObjectStore {
  const objects = new Map<string, StandInObject>();
  const listeners = new Set<(change: StandInChange) => void>();
  const history: StandInChange[] = [];
  let version = 0;

  function record(change: StandInChange): number {
    history.push(change);
    if (history.length > MAX_HISTORY) history.shift();
    for (const listener of listeners) listener(change);
    return change.version;
  }

  return {
    get: key => objects.get(key),
    list: prefix => [...objects.values()].filter(o => o.key.startsWith(prefix)),
    put(key, value, expected) {
      if ((objects.get(key)?.version ?? 0) !== expected) return undefined;
      version += 1;
      objects.set(key, {key, version, value});
      return record({key, version, value});
    },
    remove(key, expected) {
      if (objects.get(key)?.version !== expected) return undefined;
      objects.delete(key);
      version += 1;
      return record({key, version});
    },
    changesSince: (prefix, since) =>
      history.filter(c => c.version > since && c.key.startsWith(prefix)),
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    version: () => version,
  };
}
