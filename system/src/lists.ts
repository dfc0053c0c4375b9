/** Reads and changes the two lists of a cluster, plans and entitlements. */
import {sha256} from '@chivewick/common';
import {request} from 'undici';
import {CALLER_KEY, OTHER_KEY} from './client.js';
import {MODEL} from './engines.js';
import {ADMIN_KEY, type Host} from './hosts.js';
import {sendJson} from './http.js';
import {until} from './wait.js';

export type ListName = 'plans' | 'entitlements';

/** What the entitlements grant to one plan. */
export interface PlanEntry {
  readonly models: readonly string[];
  readonly services: readonly string[];
  readonly priority: number;
  readonly concurrency: number;
  readonly tokensPerSecond: number;
}

/** Two workspaces on one plan. */
export const DEMO_PLANS = {
  workspaces: {
    'san-fermin': {plan: 'parish', keys: [sha256(CALLER_KEY)]},
    'santa-maria': {plan: 'parish', keys: [sha256(OTHER_KEY)]},
  },
};

const PARISH_PLAN: PlanEntry = {
  models: [MODEL.name, `${MODEL.name}:formal`],
  services: ['bookings'],
  priority: 1,
  concurrency: 64,
  tokensPerSecond: 100_000,
};

/**
 * Returns entitlements with one plan, `parish`.
 *
 * @example
 * entitlementsWith({concurrency: 8});
 */
export function entitlementsWith(overrides: Partial<PlanEntry> = {}): object {
  const {name, version, layers} = MODEL;
  return {
    models: {[name]: {version, layers, adapters: ['formal']}},
    services: {bookings: {repeatable: true, nonRepeatablePaths: ['/slots']}},
    plans: {parish: {...PARISH_PLAN, ...overrides}},
  };
}

/**
 * Applies a list through a host's administration API and returns the version
 * that was accepted. Throws if the list is refused.
 *
 * @example
 * const version = await applyList(host, 'plans', DEMO_PLANS);
 */
export async function applyList(
  host: Host,
  list: ListName,
  value: object,
): Promise<number> {
  const url = `${host.operators}/admin/lists/${list}`;
  const authorization = `Bearer ${ADMIN_KEY}`;
  const read = await request(url, {headers: {authorization}});
  await read.body.dump();
  const etag = read.headers['etag'];
  const condition: Record<string, string> =
    etag === undefined ? {'if-none-match': '*'} : {'if-match': String(etag)};
  const headers = {authorization, ...condition};
  const accepted = await sendJson('PUT', url, value, headers);
  return (accepted as {version: number}).version;
}

/**
 * Waits until a version of a list, or a later one, is in effect on hosts.
 *
 * @example
 * await untilInEffect(cluster.hosts, 'plans', version);
 */
export async function untilInEffect(
  hosts: readonly Host[],
  list: ListName,
  version: number,
): Promise<void> {
  await Promise.all(
    hosts.map(host =>
      until(`${list} ${version} is in effect on ${host.name}`, async () => {
        const versions = await host.versions();
        return versions !== undefined && versions[list] >= version;
      }),
    ),
  );
}
