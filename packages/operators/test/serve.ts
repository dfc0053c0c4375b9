import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {TestContext} from 'node:test';
import {
  createLogger,
  fail,
  id,
  ok,
  sha256,
  type HostId,
} from '@chivewick/common';
import {createOperatorsApp, type OperatorsOptions} from '../src/index.js';
import {createFakeStore, type FakeStore} from './fake-store.js';

export const KEY = 'key-of-maria';

export const ENTITLEMENTS = {
  models: {'rota-draft': {version: 'v1', layers: 24, adapters: ['formal']}},
  services: {bookings: {repeatable: true, nonRepeatablePaths: ['/slots']}},
  plans: {
    parish: {
      models: ['rota-draft', 'rota-draft:formal'],
      services: ['bookings'],
      priority: 1,
      concurrency: 8,
      tokensPerSecond: 400,
    },
  },
};

export const PLANS = {
  workspaces: {
    'san-fermin': {plan: 'parish', keys: [sha256('caller-key')]},
  },
};

/** A parsed response body; the assertions check its structure. */
// eslint-disable-next-line @typescript-eslint/no-explicit-any
export type Json = any;

export interface TestServer {
  readonly store: FakeStore;
  readonly port: number;
  /** Log lines so far, as JSON. */
  readonly log: string[];
  /**
   * Sends a request, with the administration key unless headers override it.
   */
  send(
    method: string,
    path: string,
    init?: {headers?: Record<string, string>; body?: string},
  ): Promise<{status: number; headers: Headers; json: Json; text: string}>;
}

/** Serves the administration API on a free port until the test ends. */
export async function startTestServer(
  t: TestContext,
  overrides: Partial<OperatorsOptions> = {},
): Promise<TestServer> {
  const store = createFakeStore();
  const log: string[] = [];
  const destination = {write: (line: string) => void log.push(line)};
  const self = id<HostId>('nav-a-1');
  const app = createOperatorsApp({
    self,
    keys: [{name: 'maria', sha256: sha256(KEY)}],
    objects: store,
    log: createLogger({label: 'operators', destination}),
    maxBodyBytes: 10_000,
    readiness: () => ({ready: true}),
    metrics: async () => 'chivewick_requests_total 1\n',
    versions: async () => [
      {host: self, plans: 1, entitlements: 2, confirmed: true, ageMs: 0},
    ],
    hosts: () => [],
    endpoints: () => [],
    routes: async model => fail('not_found', `no model ${model}`),
    request: async () => undefined,
    call: async (workspace, key) => ok({workspace, key, state: 'answered'}),
    quarantine: async () => ok([]),
    ...overrides,
  });
  const server = createServer(app.attach);
  server.listen(0, '127.0.0.1');
  await new Promise(resolve => server.once('listening', resolve));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return {
    store,
    log,
    port,
    async send(method, path, {headers, body} = {}) {
      const res = await fetch(`http://127.0.0.1:${port}${path}`, {
        method,
        body,
        headers: {authorization: `Bearer ${KEY}`, ...headers},
      });
      const text = await res.text();
      const isJson = res.headers.get('content-type')?.includes('json');
      const json = isJson && text !== '' ? JSON.parse(text) : undefined;
      return {status: res.status, headers: res.headers, json, text};
    },
  };
}

/** Stores both lists and returns their versions. */
export async function storeLists({send}: TestServer) {
  const create = (list: string, value: unknown) =>
    send('PUT', `/admin/lists/${list}`, {
      headers: {'if-none-match': '*'},
      body: JSON.stringify(value),
    });
  const entitlements = await create('entitlements', ENTITLEMENTS);
  const plans = await create('plans', PLANS);
  return {
    plans: plans.json.version as number,
    entitlements: entitlements.json.version as number,
  };
}
