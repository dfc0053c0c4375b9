import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TestContext} from 'node:test';
import {
  createSilentLogger,
  id,
  ok,
  sha256,
  type HostId,
} from '@chivewick/common';
import {
  createOperatorsApp,
  type HostVersions,
  type OperatorsOptions,
} from '@chivewick/operators';
import {createObjectApi} from '@chivewick/platform';
import {createObjectApiStandIn} from '@chivewick/stand-ins';
import {runChivewick} from '../src/index.js';

const KEY = 'key-of-maria';

/** Result of one run of the tool. */
export interface Run {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs the tool against an administration API with its own object store. */
export interface CliHarness {
  readonly address: string;
  /** Hosts and how they report versions; tests change it. */
  readonly hosts: Map<
    string,
    'current' | 'behind' | 'unresponsive' | 'leaving'
  >;
  /** Runs a function once before the next write, such as another operator's edit. */
  beforeWrite(run: () => Promise<unknown>): void;
  run(...argv: string[]): Promise<Run>;
  /** Writes a file to the temporary directory of this test and returns its path. */
  file(name: string, text: string): string;
}

/** Environment of a run. */
export interface RunOptions {
  readonly env?: Record<string, string>;
  readonly isTerminal?: boolean;
  /** Called on each sleep, which only advances the fake clock. */
  readonly onSleep?: () => void;
}

/** Runs the tool in this process with a fake output and a fake clock. */
export async function runCli(
  argv: readonly string[],
  {env = {}, isTerminal = false, onSleep}: RunOptions = {},
): Promise<Run> {
  let out = '';
  let err = '';
  let nowMs = 0;
  const code = await runChivewick(argv, {
    out: text => void (out += text),
    err: text => void (err += text),
    isTerminal,
    env,
    sleep: async ms => {
      nowMs += ms;
      onSleep?.();
    },
    now: () => nowMs,
  });
  return {code, out, err};
}

/** Starts an administration API for one test. */
export async function startHarness(
  t: TestContext,
  options: RunOptions = {},
): Promise<CliHarness> {
  const standIn = await createObjectApiStandIn({});
  const api = createObjectApi({address: standIn.address});
  const hosts: CliHarness['hosts'] = new Map([['nav-a-1', 'current']]);
  let hook: (() => Promise<unknown>) | undefined;
  const objects: OperatorsOptions['objects'] = {
    ...api,
    async put(key, value, expected) {
      const run = hook;
      hook = undefined;
      await run?.();
      return api.put(key, value, expected);
    },
  };
  const versionsOf = async (host: string): Promise<HostVersions> => {
    const versions = await Promise.all(
      ['plans', 'entitlements'].map(async list => {
        const read = await api.get(`lists/${list}`);
        const version = read.ok ? (read.value?.version ?? 0) : 0;
        return hosts.get(host) === 'behind' ? version - 1 : version;
      }),
    );
    const [plans, entitlements] = versions;
    const report = {confirmed: true, ageMs: 0};
    return {host: id<HostId>(host), plans, entitlements, ...report};
  };
  const app = createOperatorsApp({
    self: id<HostId>('nav-a-1'),
    keys: [{name: 'maria', sha256: sha256(KEY)}],
    objects,
    log: createSilentLogger(),
    readiness: () => ({ready: true}),
    metrics: async () => '',
    versions: () =>
      Promise.all(
        [...hosts]
          .filter(([, state]) => state === 'current' || state === 'behind')
          .map(([host]) => versionsOf(host)),
      ),
    hosts: () =>
      [...hosts].map(([host, state]) => ({
        host: id<HostId>(host),
        address: '10.0.0.1:8901',
        failureDomain: 'nav-a',
        state: state === 'leaving' ? 'leaving' : 'alive',
      })),
    endpoints: () => [],
    routes: async () =>
      ok([
        {endpoint: 'engine-1', from: 0},
        {endpoint: 'engine-2', from: 8},
      ]),
    request: async request =>
      request === 'known' ? {request, outcome: 'ok'} : undefined,
    call: async (_workspace, key) => ok({key, ran: 'ran'}),
    quarantine: async () => ok([]),
  });
  const server = createServer(app.attach).listen(0, '127.0.0.1');
  await new Promise(resolve => server.once('listening', resolve));
  const dir = mkdtempSync(join(tmpdir(), 'chivewick-test-'));
  t.after(async () => {
    server.closeAllConnections();
    server.close();
    rmSync(dir, {recursive: true});
    await api.close();
    await standIn.close();
  });
  const {port} = server.address() as AddressInfo;
  const address = `http://127.0.0.1:${port}`;
  const env = {CHIVEWICK_SERVER: address, CHIVEWICK_KEY: KEY};
  return {
    address,
    hosts,
    beforeWrite: run => (hook = run),
    run: (...argv) => runCli(argv, {...options, env: {...env, ...options.env}}),
    file(name, text) {
      const path = join(dir, name);
      writeFileSync(path, text);
      return path;
    },
  };
}
