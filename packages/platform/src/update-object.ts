import {fail, ok, type Result} from '@chivewick/common';
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExpectedVersion, ObjectApi, StoredObject} from './object-api.js';

/** A value that records which write produced it. */
export interface Written {
  readonly writeId?: string;
}

const DEFAULT_DEADLINE_MS = 5_000;
const RETRY_DELAY_MS = 25;

/**
 * Reads an object, changes its value and writes it on condition that its version
 * is still the one read. A lost response is resolved by the `writeId` in the
 * value and by repeating the same conditional write, of which at most one can
 * succeed. `change` runs again after a conflict; it returns undefined to leave
 * the object unchanged. If another writer has overwritten a write whose response
 * was lost, `change` runs on the newer value, so it must be idempotent.
 *
 * Fails with `platform_unavailable`; its `ran` is `unknown` when a write may
 * have taken effect.
 *
 * @example
 * await updateObject<Lease>(api, 'orders/lease', lease => ({...lease, holder}));
 */
export async function updateObject<T extends object>(
  api: Pick<ObjectApi, 'get' | 'put'>,
  key: string,
  change: (current: T | undefined) => T | undefined,
  options: {deadlineMs?: number} = {},
): Promise<Result<StoredObject<T> | undefined>> {
  const deadline =
    performance.now() + (options.deadlineMs ?? DEFAULT_DEADLINE_MS);
  const writeId = randomUUID();
  let mayHaveRun = false;
  for (;;) {
    const read = await api.get(key);
    if (read.ok) {
      const current = read.value as StoredObject<T & Written> | undefined;
      if (current?.value.writeId === writeId) return ok(current);
      const next = change(current?.value);
      if (next === undefined) return ok(current);
      const value = {...next, writeId};
      const expected: ExpectedVersion = current?.version ?? 'absent';
      const outcome = await api.put(key, value, expected);
      if (outcome.kind === 'written') {
        return ok({key, version: outcome.version, value});
      }
      if (outcome.kind === 'unknown') mayHaveRun = true;
    }
    if (performance.now() >= deadline) {
      return fail(
        'platform_unavailable',
        `object ${key} was not updated before the deadline`,
        {
          ran: mayHaveRun ? 'unknown' : 'not_run',
        },
      );
    }
    await sleep(RETRY_DELAY_MS);
  }
}
