import {
  createRandom,
  createSilentLogger,
  fail,
  id,
  ok,
  type EndpointId,
  type FailureDomain,
  type HostId,
  type ModelName,
  type ServiceName,
  type WorkspaceId,
} from '@chivewick/common';
import {
  storeVersion,
  type ChangeBatch,
  type ObjectChange,
  type ObjectFeed,
  type StoredObject,
} from '@chivewick/platform';
import {LOOPBACK_HOST} from '@chivewick/stand-ins';
import {
  createDialer,
  createDirectPaths,
  type DialLimits,
  type TunnelHost,
} from '@chivewick/tunnels';
import {request, type IncomingHttpHeaders} from 'node:http';
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import type {FleetHost} from '../src/fleet.js';
import {startGateway, type Gateway} from '../src/gateway.js';
import type {
  Dialect,
  EndpointRecord,
  EngineControl,
  EngineProfile,
  HostBounds,
  RouteName,
  RouteRule,
  RoutingConfig,
  ServiceRule,
} from '../src/types.js';

export const PLAIN = id<ServiceName>('app');
export const MODEL = id<ServiceName>('model');

export const PROFILE: EngineProfile = {
  model: id<ModelName>('m'),
  loadS: 14,
  loadsAtOnce: 5,
  layers: 80,
  layerMb: 1_750,
  stepMs: 1,
  perSequenceMs: 0.01,
  contextMsPerThousand: 0.014,
  prefillTokensPerS: 105_000,
  tokenBytes: 1_315_343,
  activationBytes: 65_767,
  linkMbps: 400_000,
  pipeMbps: 26_000,
  slots: 134,
  typicalPromptTokens: 774,
  typicalOutputTokens: 200,
  kinds: new Map([['card', {memoryMb: 72_000, pace: 2, readFactor: 3}]]),
  delays: [],
};

const BOUNDS: HostBounds = {
  drainMs: 2_000,
  configApplyMs: 2_000,
  graceMs: 8_000,
  revokeMs: 5_000,
  strictRevocation: true,
  retryRatio: 10,
  retryWindowMs: 10_000,
  retryExtra: 100,
};

/** Header names used by these tests; a deployment defines its own. */
const DIALECT: Dialect = {
  readRequest: headers => ({
    requestId: headers['request-id'] as string | undefined,
    deadlineMs: Number(headers['deadline-ms'] ?? 5_000),
    key: headers['key'] as string | undefined,
    lastEventId: headers['after-event']
      ? Number(headers['after-event'])
      : undefined,
    sharedParts: headers['parts']
      ? String(headers['parts']).split(',').slice(0, -1)
      : [],
    promptTokens: 100,
    maxOutputTokens: 100,
  }),
  forwardHeaders: (raw, facts) => [
    'host',
    'h',
    'request-id',
    raw[raw.findIndex(name => name.toLowerCase() === 'request-id') + 1],
    'workspace',
    facts.workspace ?? '',
    'after-event',
    String(facts.lastEventId ?? ''),
    'stages',
    (facts.stages ?? []).map(stage => stage.endpoint).join(','),
  ],
  readResponse: (status, headers) => ({
    requestId: headers['request-id'] as string | undefined,
    signed: headers['signature'] !== undefined,
    notRun: headers['not-run'] !== undefined || status === 421,
    suspectAddress: undefined,
    encoded: false,
    leaving: headers['leaving'] !== undefined,
    requestLimit: headers['limit'] ? Number(headers['limit']) : undefined,
    retryAfterMs: headers['retry-after']
      ? Number(headers['retry-after']) * 1_000
      : undefined,
  }),
};

export function route(changes: Partial<RouteRule> = {}): RouteRule {
  return {
    name: id<RouteName>('r'),
    host: 'h',
    pathPrefix: '/',
    kind: 'repeatable',
    timeoutMs: 3_000,
    goalMs: 500,
    gapGoalMs: 200,
    priority: 1,
    targets: [{service: PLAIN, weight: 1}],
    maxEndpoints: 2,
    isPublic: true,
    resumable: false,
    ...changes,
  };
}

export function config(changes: Partial<RoutingConfig> = {}): RoutingConfig {
  const services: ServiceRule[] = [
    {name: PLAIN, healthPath: '/health'},
    {name: MODEL, healthPath: '/health', engine: PROFILE},
  ];
  return {
    version: 1,
    routes: [route()],
    services: new Map(services.map(service => [service.name, service])),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    workspaceOfKey: new Map([['key-1', {id: id<WorkspaceId>('w1')}]]),
    ...changes,
  };
}

/** An in-memory store that the test can change, take down and truncate. */
export function createFakeFeed() {
  const objects = new Map<string, StoredObject>();
  const waiting = new Set<() => void>();
  let changes: ObjectChange[] = [];
  let version = 1;
  let isDown = false;
  /** Changes before this version are no longer available. */
  let historyFrom = 0;
  let era = 0;

  function put(key: string, value: unknown): void {
    version += 1;
    objects.set(key, {key, version, value});
    changes.push({key, version, value});
    for (const wake of waiting) wake();
  }

  const feed: ObjectFeed = {
    listKind: kind =>
      Promise.resolve(
        isDown
          ? fail('platform_unavailable', 'down')
          : ok({
              objects: [...objects.values()].filter(object =>
                object.key.startsWith(`${kind}/`),
              ),
              version,
              confirmedAfterMs: 0,
            }),
      ),
    async changes(kind, since, waitMs, signal): Promise<ChangeBatch> {
      const found = () =>
        changes.filter(
          change => change.version > since && change.key.startsWith(`${kind}/`),
        );
      if (found().length === 0 && !isDown) {
        await new Promise<void>(resolve => {
          const done = () => {
            clearTimeout(timer);
            waiting.delete(done);
            resolve();
          };
          const timer = setTimeout(done, waitMs);
          waiting.add(done);
          signal.addEventListener('abort', done);
        });
      }
      if (isDown || signal.aborted) {
        return {kind: 'unavailable', message: 'down or aborted'};
      }
      if (since < historyFrom) return {kind: 'history_lost'};
      return {
        kind: 'changes',
        changes: found(),
        version,
        confirmedAfterMs: found().length > 0 ? 0 : waitMs,
      };
    },
  };
  return {
    feed,
    put,
    remove(key: string) {
      version += 1;
      objects.delete(key);
      changes.push({key, version});
      for (const wake of waiting) wake();
    },
    setDown(down: boolean) {
      isDown = down;
      for (const wake of waiting) wake();
    },
    /** Objects as they are, for a restore. */
    copy: () => new Map(objects),
    /** Brings back a copy, in a new era in which no watch can go on. */
    restore(copy: ReadonlyMap<string, StoredObject>) {
      era += 1;
      version = storeVersion(era, copy.size)!;
      objects.clear();
      for (const [index, object] of [...copy.values()].entries())
        objects.set(object.key, {
          ...object,
          version: storeVersion(era, index)!,
        });
      changes = [];
      historyFrom = version;
      for (const wake of waiting) wake();
    },
    /** Makes a change and drops the history, so that no poll reports the change. */
    loseHistory(key: string, value: unknown) {
      version += 1;
      objects.set(key, {key, version, value});
      changes = [];
      historyFrom = version;
      for (const wake of waiting) wake();
    },
  };
}

/** Behavior of an endpoint on a connection that has received a request. */
export type Behavior = (socket: Socket, head: string) => void;

export interface FakeEndpoint {
  readonly address: string;
  /** Heads of the received requests. */
  readonly heads: string[];
  behavior: Behavior;
  /** Ends it as a crash does: all connections close, and new ones are refused. */
  crash(): void;
  /** Closes all connections, and accepts new ones. */
  reset(): void;
  /** Refuses new connections; those that are open live on. */
  refuse(): void;
}

const servers: Server[] = [];
const gateways: Gateway[] = [];

/** Starts an endpoint with the given behavior. */
export async function startEndpoint(behavior: Behavior): Promise<FakeEndpoint> {
  const heads: string[] = [];
  const sockets = new Set<Socket>();
  const endpoint = {
    address: '',
    heads,
    behavior,
    refuse: () => void server.close(),
    reset() {
      for (const socket of sockets) socket.destroy();
    },
    crash() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', bytes => {
      heads.push(bytes.toString());
      endpoint.behavior(socket, bytes.toString());
    });
  });
  servers.push(server);
  await new Promise<void>(done => server.listen(0, LOOPBACK_HOST, done));
  endpoint.address = `${LOOPBACK_HOST}:${(server.address() as AddressInfo).port}`;
  return endpoint;
}

export function header(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: ?(.*)$`, 'im').exec(head)?.[1].trim();
}

/** Sends a signed response, 200 by default, with the id of the request. */
export const respond =
  (body: string, status = '200 OK', extra = 'signature: s\r\n'): Behavior =>
  (socket, head) =>
    socket.end(
      `HTTP/1.1 ${status}\r\nrequest-id: ${header(head, 'request-id')}\r\n${extra}content-length: ${body.length}\r\n\r\n${body}`,
    );

export function record(
  name: string,
  address: string,
  changes: Partial<EndpointRecord> = {},
): EndpointRecord {
  return {
    id: id<EndpointId>(name),
    service: PLAIN,
    address,
    failureDomain: id<FailureDomain>('a'),
    slots: 6,
    state: 'ready',
    startedAtMs: 1,
    writes: 1,
    storeVersion: 1,
    ...changes,
  };
}

/**
 * Below the ports that the kernel gives out by itself. The first one differs between files
 * that run at the same time, which share an address elsewhere than on Linux.
 */
let nextPort = 10_000 + 2_000 * (process.pid % 11);

/** A port of `LOOPBACK_HOST` that nothing else binds. */
export const freePort = () => nextPort++;

const NO_CONTROL: EngineControl = {
  report: () => Promise.resolve(undefined),
  place: () => Promise.resolve({kind: 'unknown', message: 'no engine'}),
  repath: () => Promise.resolve({kind: 'unknown', message: 'no engine'}),
};

/** A configuration that another host has sent has lost its maps. */
function reviveConfig(value: RoutingConfig): RoutingConfig {
  return value.services instanceof Map
    ? value
    : config({version: value.version});
}

/** Starts a gateway with a fake store, and waits until it has its endpoints. */
export async function startHarness(options: {
  /** Hosts that open tunnels. */
  tunnelHosts?: readonly TunnelHost[];
  /** Opens connections to endpoints; this host is cut off if it rejects. */
  openDirect?: () => Promise<never>;
  dialLimits?: DialLimits;
  config?: RoutingConfig;
  records?: readonly EndpointRecord[];
  bounds?: Partial<HostBounds>;
  control?: EngineControl;
  name?: string;
  /** Other hosts of the fleet. */
  others?: readonly FleetHost[];
  /** Addresses in place of free ones. */
  addresses?: {readonly peers?: string; readonly tunnels?: string};
}) {
  const store = createFakeFeed();
  const [callers, readiness, metrics] = [freePort(), freePort(), freePort()];
  const [tunnels, peers] = [freePort(), freePort()];
  store.put('config/main', options.config ?? config());
  for (const item of options.records ?? []) {
    store.put(`endpoints/${item.id}`, item);
  }
  const random = createRandom();
  const self: FleetHost = {
    id: id<HostId>(options.name ?? 'host-1'),
    address: options.addresses?.peers ?? `${LOOPBACK_HOST}:${peers}`,
    failureDomain: id<FailureDomain>('a'),
    cores: 1,
  };
  const others = [...(options.others ?? [])];
  const paths = createDirectPaths({onChange: () => {}});
  const gateway = await startGateway({
    paths,
    dialer: createDialer({
      failureDomain: id<FailureDomain>('a'),
      hosts: () => options.tunnelHosts ?? [],
      paths,
      random,
      openDirect: options.openDirect,
      limits: options.dialLimits,
    }),
    self,
    addresses: {
      callers: `${LOOPBACK_HOST}:${callers}`,
      readiness: `${LOOPBACK_HOST}:${readiness}`,
      peers: self.address,
      metrics: `${LOOPBACK_HOST}:${metrics}`,
      tunnels: options.addresses?.tunnels ?? `${LOOPBACK_HOST}:${tunnels}`,
    },
    bounds: () => ({...BOUNDS, ...options.bounds}),
    feed: store.feed,
    dialect: DIALECT,
    control: options.control ?? NO_CONTROL,
    log: createSilentLogger(),
    kinds: {config: 'config', endpoints: 'endpoints'},
    readConfig: ({value}) => reviveConfig(value as RoutingConfig),
    readEndpoint: object => object.value as EndpointRecord,
    fleet: {
      count: () => 1 + others.length,
      others: () => others,
      isKnown: () => true,
      ready: () => Promise.resolve(),
      domains: () => [id<FailureDomain>('a')],
      add: () => {},
    },
    fence: () => undefined,
  });
  gateways.push(gateway);
  await until(() => gateway.config() !== undefined);
  await until(
    () => gateway.table.all().length === (options.records?.length ?? 0),
  );
  return {
    gateway,
    store,
    self,
    port: callers,
    readinessPort: readiness,
    metricsPort: metrics,
    tunnelsPort: tunnels,
  };
}

/** Makes only the given endpoint appear busy with requests of other hosts. */
export function loadFromOthers({table}: Gateway, busy: string): void {
  for (const state of table.all())
    state.othersRunning = state.record.id === busy ? 50 : 0;
}

/** Waits for a condition; the timeout of the test bounds the wait. */
export async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise(done => setTimeout(done, 5));
}

export interface Reply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the response is complete. */
  readonly complete: boolean;
}

/** Sends the head of a request and part of its body. */
export async function sendPartialRequest(port: number): Promise<Socket> {
  const socket = connect(port, LOOPBACK_HOST);
  socket.on('error', () => {});
  const head =
    'POST /x HTTP/1.1\r\nhost: h\r\nrequest-id: part\r\ncontent-length: 10\r\n\r\nhalf';
  await new Promise<void>(done => socket.write(head, () => done()));
  return socket;
}

/** Sends a request as a caller does. */
export function sendRequest(
  port: number,
  options: {
    path?: string;
    method?: string;
    headers?: Record<string, string>;
    body?: string;
  } = {},
): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const {path = '/x', method = 'POST', headers = {}, body} = options;
    const req = request({
      host: LOOPBACK_HOST,
      port,
      path,
      method,
      agent: false,
      headers: {host: 'h', 'request-id': 'q1', ...headers},
    });
    req.on('error', reject);
    req.on('response', res => {
      let text = '';
      const done = () =>
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          body: text,
          complete: res.complete,
        });
      res.on('data', (chunk: Buffer) => (text += chunk.toString()));
      res.on('end', done);
      res.on('error', done);
    });
    req.end(body);
  });
}

/** Closes all gateways and endpoints that the tests of a file have started. */
export async function closeHarnesses(): Promise<void> {
  await Promise.all(gateways.map(gateway => gateway.close()));
  for (const server of servers) server.close();
}
