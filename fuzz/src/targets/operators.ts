import type {AddressInfo} from 'node:net';
import {
  createSilentLogger,
  fail,
  id,
  ok,
  sha256,
  type HostId,
} from '@chivewick/common';
import {checkEntitlements, checkPlans, resolveGrants} from '@chivewick/lists';
import {createOperatorsServer} from '@chivewick/operators';
import fc from 'fast-check';
import {createFakeStore, type FakeStore} from '../core/fake-store.js';
import {mutatedJson} from '../core/json-values.js';
import {ENTITLEMENTS, PLANS} from '../core/list-examples.js';
import type {Target} from '../core/target.js';
import {checkHttp, checkValid} from '../http/check.js';
import {
  httpInputs,
  type HttpInput,
  type RequestParts,
} from '../http/requests.js';

const KEY = 'key-of-maria';
const SELF = id<HostId>('nav-a-1');

const UNKNOWN_PLAN = {workspaces: {'san-fermin': {plan: 'other', keys: []}}};
const FEWER_PLANS = {
  ...ENTITLEMENTS,
  plans: {parish: ENTITLEMENTS.plans.parish},
};

const request = (
  method: string,
  path: string,
  body?: unknown,
  version = 1,
): RequestParts => ({
  method,
  path,
  headers: [
    ['authorization', `Bearer ${KEY}`],
    ...(body === undefined ? [] : ([['if-match', `"${version}"`]] as const)),
  ],
  body: body === undefined ? '' : JSON.stringify(body),
});

const EXAMPLES: readonly RequestParts[] = [
  request('GET', '/admin/lists/plans'),
  request('PUT', '/admin/lists/plans', PLANS),
  request('PUT', '/admin/lists/entitlements?dryRun=1', ENTITLEMENTS, 2),
  request('PUT', '/admin/lists/entitlements', ENTITLEMENTS, 2),
  // Each is valid alone, but not together with the other list.
  request('PUT', '/admin/lists/plans', UNKNOWN_PLAN),
  request('PUT', '/admin/lists/entitlements', FEWER_PLANS, 2),
  request('GET', '/admin/lists/plans/history/1'),
  request('GET', '/admin/lists/entitlements/history'),
  request('GET', '/admin/requests/r1'),
  request('GET', '/admin/calls/san-fermin/swap-17'),
  request('GET', '/admin/routes/rota-draft'),
  request('GET', '/admin/status'),
  request('GET', '/livez'),
];

const HEADERS = [
  'authorization',
  'if-match',
  'if-none-match',
  'content-type',
  'expect',
];

/** The administration API on an in-memory store that holds both lists. */
export const operatorsTarget: Target<HttpInput> = {
  name: 'operators',
  property:
    'Every response is HTTP with a proper body or a JSON error of a known kind other than internal, no exception escapes, the stored lists stay valid, and a valid request succeeds afterwards.',
  inputs: httpInputs(
    EXAMPLES,
    HEADERS,
    mutatedJson(fc.constantFrom<unknown>(PLANS, ENTITLEMENTS)).map(value =>
      Buffer.from(JSON.stringify(value)).toString('latin1'),
    ),
  ),
  runsInTests: 400,
  async open() {
    const {objects, store} = createResettableStore();
    const server = createOperatorsServer({
      self: SELF,
      keys: [{name: 'maria', sha256: sha256(KEY)}],
      objects: store,
      log: createSilentLogger(),
      readiness: () => ({ready: true}),
      metrics: async () => 'chivewick_requests_total 1\n',
      versions: async () => [],
      hosts: () => [],
      endpoints: () => [],
      routes: async model => fail('not_found', `no model ${model}`),
      request: async () => undefined,
      call: async (workspace, key) => ok({workspace, key}),
      quarantine: async () => ok([]),
    });
    await new Promise<void>(r => server.listen(0, '127.0.0.1', r));
    const {port} = server.address() as AddressInfo;
    return {
      async check(input) {
        await objects.reset();
        await checkHttp(port, input);
        await checkLists(store);
        await checkValid(port, EXAMPLES[0]);
      },
      close: () =>
        new Promise(resolve => {
          server.close(() => resolve());
          server.closeAllConnections();
        }),
    };
  },
};

/** Creates a store that can be reset per input, with the plans at version 1. */
function createResettableStore() {
  let current = createFakeStore();
  const store: FakeStore = {
    get objects() {
      return current.objects;
    },
    get: key => current.get(key),
    list: prefix => current.list(prefix),
    put: (key, value, expected) => current.put(key, value, expected),
    remove: (key, expected) => current.remove(key, expected),
    watch: (prefix, since, signal) => current.watch(prefix, since, signal),
  };
  const reset = async () => {
    current = createFakeStore();
    await current.put('lists/plans', PLANS, 'absent');
    await current.put('lists/entitlements', ENTITLEMENTS, 'absent');
  };
  return {store, objects: {reset}};
}

async function checkLists(store: FakeStore): Promise<void> {
  const plans = checkPlans(store.objects.get('lists/plans')?.value);
  const entitlements = checkEntitlements(
    store.objects.get('lists/entitlements')?.value,
  );
  if (!plans.ok) throw new Error(`stored plans: ${plans.faults[0].message}`);
  if (!entitlements.ok)
    throw new Error(`stored entitlements: ${entitlements.faults[0].message}`);
  const joint = resolveGrants(plans.value, entitlements.value);
  if (!joint.ok) throw new Error(`stored lists: ${joint.faults[0].message}`);
}
