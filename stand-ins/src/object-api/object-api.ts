import {App} from '@tinyhttp/app';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {readBody, serveFaults} from '../common/faults.js';
import {serve} from '../common/serve.js';
import {createObjectStore, type ObjectStore} from './store.js';

/** Faults of the object API, set with `POST /faults`. */
export interface ObjectApiFaults extends Record<string, unknown> {
  /** Delay before every response, in milliseconds. */
  latencyMs: number;
  /** Responds with status 503 and closes watches. */
  outage: boolean;
  /** Accepts requests and never responds. */
  frozen: boolean;
  /** Number of upcoming writes whose response is lost after they took effect. */
  loseAnswers: number;
  /** Number of upcoming writes that are lost before they take effect. */
  loseWrites: number;
  /** Number of upcoming changes that watches do not report. */
  watchGap: number;
}

/** A running object API stand-in. */
export interface ObjectApiStandIn {
  readonly address: string;
  readonly store: ObjectStore;
  readonly faults: ObjectApiFaults;
  /** Number of calls so far by kind; a watch counts once, when it is opened. */
  readonly calls: {reads: number; writes: number; watches: number};
  close(): Promise<void>;
}

const MAX_VALUE_BYTES = 1_000_000;
const WATCH_HEARTBEAT_MS = 1_000;

/**
 * Starts an object API on loopback, as described in section 4.3 of the design page.
 *
 * @example
 * const platform = await createObjectApiStandIn({});
 * platform.faults.outage = true;
 */
export async function createObjectApiStandIn(options: {
  port?: number;
}): Promise<ObjectApiStandIn> {
  const store = createObjectStore();
  const calls = {reads: 0, writes: 0, watches: 0};
  const faults: ObjectApiFaults = {
    latencyMs: 0,
    outage: false,
    frozen: false,
    loseAnswers: 0,
    loseWrites: 0,
    watchGap: 0,
  };
  const app = new App();
  serveFaults(app, faults);
  app.get('/calls', (_req, res) => void res.json(calls));

  app.use(async (_req, res, next) => {
    if (faults.frozen) return;
    if (faults.latencyMs > 0) await sleep(faults.latencyMs);
    if (faults.outage) {
      res.status(503).json({error: 'outage'});
      return;
    }
    next?.();
  });

  app.get('/watch', (req, res) => {
    calls.watches += 1;
    const url = new URL(req.url ?? '/', 'http://localhost');
    const prefix = url.searchParams.get('prefix') ?? '';
    const since = Number(url.searchParams.get('since') ?? '0');
    watch(store, faults, prefix, since, res as unknown as ServerResponse);
  });

  app.get('/objects', (req, res) => {
    calls.reads += 1;
    const url = new URL(req.url ?? '/', 'http://localhost');
    res.json({objects: store.list(url.searchParams.get('prefix') ?? '')});
  });

  app.get('/objects/*', (req, res) => {
    calls.reads += 1;
    const object = store.get(parseKey(req));
    if (object === undefined) return void res.status(404).json({error: 'none'});
    res.json(object);
  });

  app.put('/objects/*', async (req, res) => {
    calls.writes += 1;
    const body = await readBody(req);
    if (body.length > MAX_VALUE_BYTES) {
      return void res.status(413).json({error: 'value over 1 MB'});
    }
    if (consumeFault(faults, 'loseWrites')) return void req.socket.destroy();
    const version = store.put(
      parseKey(req),
      JSON.parse(body),
      parseExpectedVersion(req),
    );
    if (consumeFault(faults, 'loseAnswers')) return void req.socket.destroy();
    if (version === undefined) return void res.status(412).json({});
    res.json({version});
  });

  app.delete('/objects/*', (req, res) => {
    calls.writes += 1;
    const version = store.remove(parseKey(req), parseExpectedVersion(req));
    if (version === undefined) return void res.status(412).json({});
    res.json({version});
  });

  const serving = await serve(
    (req, res) => void app.handler(req as never, res as never),
    options.port,
  );
  return {...serving, store, faults, calls};
}

function parseKey(req: IncomingMessage): string {
  const {pathname} = new URL(req.url ?? '/', 'http://localhost');
  return decodeURIComponent(pathname.slice('/objects/'.length));
}

function parseExpectedVersion(req: IncomingMessage): number {
  if (req.headers['if-none-match'] === '*') return 0;
  return Number(req.headers['if-match'] ?? 'NaN');
}

function consumeFault(
  faults: ObjectApiFaults,
  name: 'loseAnswers' | 'loseWrites' | 'watchGap',
): boolean {
  if (faults[name] <= 0) return false;
  faults[name] -= 1;
  return true;
}

function watch(
  store: ObjectStore,
  faults: ObjectApiFaults,
  prefix: string,
  since: number,
  res: ServerResponse,
): void {
  res.writeHead(200, {'content-type': 'application/x-ndjson'});
  const send = (value: unknown) => res.write(`${JSON.stringify(value)}\n`);
  for (const change of store.changesSince(prefix, since)) send(change);
  send({heartbeat: true});
  const unsubscribe = store.onChange(change => {
    if (!change.key.startsWith(prefix) || consumeFault(faults, 'watchGap'))
      return;
    if (!faults.frozen) send(change);
  });
  const heartbeat = setInterval(() => {
    if (faults.outage) res.destroy();
    else if (!faults.frozen) send({heartbeat: true});
  }, WATCH_HEARTBEAT_MS);
  res.once('close', () => {
    clearInterval(heartbeat);
    unsubscribe();
  });
}
