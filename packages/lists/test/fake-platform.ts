import {
  fail,
  failure,
  FailureError,
  ok,
  type HostId,
  type Random,
  type Result,
} from '@chivewick/common';
import type {ObjectApi, ObjectChange, StoredObject} from '@chivewick/platform';

/** An in-memory store that can simulate faults of the platform's object API. */
export interface FakePlatform {
  /** The API as one host sees it. */
  api(host: HostId): ObjectApi;
  /** Writes a list unconditionally; undefined deletes it. */
  write(list: 'plans' | 'entitlements', value: unknown): number;
  get(list: string): StoredObject | undefined;
  readonly faults: {
    outage: boolean;
    unreachable: ReadonlySet<HostId>;
    /** Fraction of changes that a watch does not deliver. */
    gaps: number;
    /** Whether a watch may deliver changes out of order. */
    reorder: boolean;
  };
  breakWatches(): void;
  /** Stores a value under an earlier version, as restoring a backup does. */
  restore(
    list: 'plans' | 'entitlements',
    version: number,
    value: unknown,
  ): void;
  readonly calls: {reads: number; watches: number};
  /** Bytes of values sent to each host. */
  readonly bytes: Map<HostId, number>;
}

interface Watch {
  readonly prefix: string;
  readonly host: HostId;
  push(change: ObjectChange | 'broken'): void;
}

const MAX_DELAY_MS = 30;

export function createFakePlatform(random: Random): FakePlatform {
  const objects = new Map<string, StoredObject>();
  const history: ObjectChange[] = [];
  const watches = new Set<Watch>();
  const calls = {reads: 0, watches: 0};
  const bytes = new Map<HostId, number>();
  const count = (host: HostId, value: unknown) => {
    const size = JSON.stringify(value)?.length ?? 0;
    bytes.set(host, (bytes.get(host) ?? 0) + size);
  };
  const faults: FakePlatform['faults'] = {
    outage: false,
    unreachable: new Set(),
    gaps: 0,
    reorder: false,
  };
  const down = (host: HostId) => faults.outage || faults.unreachable.has(host);
  const delayMs = () => Math.ceil(random.next() * MAX_DELAY_MS);
  const delay = () =>
    new Promise<void>(done => void setTimeout(done, delayMs()));

  async function get(
    host: HostId,
    key: string,
  ): Promise<Result<StoredObject | undefined>> {
    calls.reads++;
    await delay();
    const found = objects.get(key);
    await delay();
    count(host, found);
    return down(host) ? fail('platform_unavailable', 'outage') : ok(found);
  }

  async function* watch(
    host: HostId,
    prefix: string,
    since: number,
    signal: AbortSignal,
  ): AsyncIterable<ObjectChange> {
    calls.watches++;
    await delay();
    const waiting: (ObjectChange | 'broken')[] = down(host)
      ? ['broken']
      : history.filter(c => c.version > since && c.key.startsWith(prefix));
    let wake = () => {};
    const entry: Watch = {
      prefix,
      host,
      push(change) {
        waiting.push(change);
        wake();
      },
    };
    signal.addEventListener('abort', () => wake());
    watches.add(entry);
    try {
      for (;;) {
        if (signal.aborted) return;
        const next = waiting.shift();
        if (next === 'broken')
          throw new FailureError(failure('platform_unavailable', 'broken'));
        if (next !== undefined) {
          count(host, next);
          yield next;
        } else await new Promise<void>(resolve => (wake = resolve));
      }
    } finally {
      watches.delete(entry);
    }
  }

  function send(entry: Watch, change: ObjectChange): void {
    if (random.next() < faults.gaps) return;
    const ms = faults.reorder ? delayMs() * 10 : MAX_DELAY_MS;
    setTimeout(() => {
      if (watches.has(entry) && !down(entry.host)) entry.push(change);
    }, ms);
  }

  return {
    faults,
    calls,
    bytes,
    get: list => objects.get(`lists/${list}`),
    write(list, value) {
      const key = `lists/${list}`;
      const version = history.length + 1;
      if (value === undefined) objects.delete(key);
      else objects.set(key, {key, version, value});
      const change = {key, version, value};
      history.push(change);
      for (const entry of watches)
        if (key.startsWith(entry.prefix)) send(entry, change);
      return version;
    },
    restore(list, version, value) {
      const key = `lists/${list}`;
      objects.set(key, {key, version, value});
    },
    breakWatches() {
      for (const entry of watches) entry.push('broken');
    },
    api: host => ({
      get: key => get(host, key),
      list: async () => ok([]),
      put: async () => ({kind: 'unknown', message: 'not used'}),
      remove: async () => ({kind: 'unknown', message: 'not used'}),
      watch: (prefix, since, signal) => watch(host, prefix, since, signal),
    }),
  };
}
