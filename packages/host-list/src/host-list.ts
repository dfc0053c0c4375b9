import type {FailureDomain, Logger} from '@chivewick/common';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

/** One entry of the platform's host list. */
export interface HostListEntry {
  readonly id: string;
  readonly kind: 'host' | 'endpoint' | 'service';
  /** Name of the service, for services. */
  readonly name?: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly state: 'live' | 'leaving';
}

/** Copy of the platform's host list that is refreshed at an interval. */
export interface HostList {
  /** Entries of the last successful read; empty before the first. */
  entries(): readonly HostListEntry[];
  /** Calls `listener` after each change, and immediately if there are any entries. */
  onChange(listener: (entries: readonly HostListEntry[]) => void): void;
  close(): Promise<void>;
}

const REQUEST_TIMEOUT_MS = 1_000;

/**
 * Polls the platform's host list every `refreshMs` milliseconds. The last
 * entries are kept while the platform does not answer; each failed read is
 * logged as `hostListStale`.
 *
 * @example
 * const hosts = createHostList({address: '10.0.0.6:7001', refreshMs: 500, log});
 * hosts.onChange(entries => routes.update(entries));
 */
export function createHostList(options: {
  address: string;
  refreshMs: number;
  log: Logger;
}): HostList {
  const {address, refreshMs, log} = options;
  const stop = new AbortController();
  const listeners: ((entries: readonly HostListEntry[]) => void)[] = [];
  let entries: readonly HostListEntry[] = [];
  let lastText = '';

  async function refresh(): Promise<void> {
    const res = await request(`http://${address}/hosts`, {
      signal: AbortSignal.any([
        stop.signal,
        AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      ]),
    });
    const text = await res.body.text();
    if (res.statusCode !== 200)
      throw new Error(`unexpected status ${res.statusCode}`);
    if (text === lastText) return;
    lastText = text;
    entries = (JSON.parse(text) as {entries: HostListEntry[]}).entries;
    for (const listener of listeners) listener(entries);
  }

  async function poll(): Promise<void> {
    while (!stop.signal.aborted) {
      try {
        await refresh();
      } catch (err) {
        if (stop.signal.aborted) return;
        log.event('hostListStale', {reason: (err as Error).message});
      }
      await sleep(refreshMs, undefined, {signal: stop.signal}).catch(() => {});
    }
  }

  const polling = poll();
  return {
    entries: () => entries,
    onChange(listener) {
      listeners.push(listener);
      if (entries.length > 0) listener(entries);
    },
    async close() {
      stop.abort();
      await polling;
    },
  };
}
