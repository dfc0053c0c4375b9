import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {LOOPBACK_HOST} from '../common/loopback.js';
import {createRunLog, type RunLog} from './run-log.js';

/**
 * Faults of the service. A count applies to that number of upcoming bookings; a
 * frozen booking gets no response.
 */
export interface ServiceFaults {
  /** Delay before every response, in milliseconds. */
  latencyMs: number;
  /** Number of bookings to freeze before they take effect. */
  freezeBeforeEffect: number;
  /** Number of bookings to freeze after they took effect. */
  freezeAfterEffect: number;
  /** Number of bookings that take effect and then close all connections of the
   * service instead of responding. */
  crashAfterEffect: number;
  /** Time for which new connections are refused, in milliseconds. */
  refuseMs: number;
  /** Size of the padding in the response to a booking, in bytes. */
  answerBytes: number;
}

/** A running service stand-in. */
export interface ServiceStandIn {
  /** `ip:port` of the service. */
  readonly address: string;
  readonly runs: RunLog;
  setFaults(faults: Partial<ServiceFaults>): void;
  close(): Promise<void>;
}

/** No faults. */
export const NO_SERVICE_FAULTS: ServiceFaults = {
  latencyMs: 0,
  freezeBeforeEffect: 0,
  freezeAfterEffect: 0,
  crashAfterEffect: 0,
  refuseMs: 0,
  answerBytes: 0,
};

/**
 * Starts a service on loopback whose bookings must not be repeated:
 * `POST /slots` books, `GET /slots/{id}` and `GET /status` read, `GET /runs`
 * returns the counts of runs, `GET` and `POST /faults` read and set faults.
 *
 * @example
 * const service = await createServiceStandIn({port: 0});
 * service.setFaults({crashAfterEffect: 1});
 */
export async function createServiceStandIn(
  options: {port?: number; runs?: RunLog} = {},
): Promise<ServiceStandIn> {
  const runs = options.runs ?? createRunLog();
  const faults = {...NO_SERVICE_FAULTS};
  const sockets = new Set<Socket>();
  const server = createServer((req, res) => {
    serve(req, res).catch(() => res.destroy());
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  const closeConnections = () => sockets.forEach(socket => socket.destroy());
  const listen = (port: number) =>
    new Promise<void>(resolve => server.listen(port, LOOPBACK_HOST, resolve));
  await listen(options.port ?? 0);
  const {port} = server.address() as AddressInfo;
  let reopenTimer: NodeJS.Timeout | undefined;
  let closed = false;

  function setFaults(change: Partial<ServiceFaults>): void {
    Object.assign(faults, change);
    if (faults.refuseMs <= 0) return;
    const {refuseMs} = faults;
    faults.refuseMs = 0;
    server.close();
    closeConnections();
    clearTimeout(reopenTimer);
    reopenTimer = setTimeout(() => void listen(port), refuseMs);
  }

  async function serve(req: IncomingMessage, res: ServerResponse) {
    const path = (req.url ?? '/').split('?')[0];
    const body = await readBody(req);
    if (path === '/faults') return serveFaults(req, res, body);
    if (path === '/runs') return respond(res, 200, runs.counts());
    if (faults.latencyMs > 0) await sleep(faults.latencyMs);
    if (req.method === 'POST' && path === '/slots') return book(req, res, body);
    if (path === '/status') return respond(res, 200, {status: 'open'});
    const booked = runs.slot(path.replace(/^\/slots\//, ''));
    if (booked === undefined) return respond(res, 404, {error: 'no such slot'});
    respond(res, 200, {body: booked});
  }

  function serveFaults(
    req: IncomingMessage,
    res: ServerResponse,
    body: string,
  ) {
    const change =
      req.method === 'POST' ? (JSON.parse(body) as Partial<ServiceFaults>) : {};
    res.on('finish', () => setFaults(change));
    respond(res, 200, {...faults, ...change});
  }

  function book(req: IncomingMessage, res: ServerResponse, body: string) {
    if (consumeFault(faults, 'freezeBeforeEffect')) return;
    const key = String(req.headers['idempotency-key'] ?? '');
    const slot = runs.book(key, body);
    if (consumeFault(faults, 'freezeAfterEffect')) return;
    if (consumeFault(faults, 'crashAfterEffect')) return closeConnections();
    respond(res, 201, {slot, filler: 'x'.repeat(faults.answerBytes)});
  }

  return {
    address: `${LOOPBACK_HOST}:${port}`,
    runs,
    setFaults,
    async close() {
      if (closed) return;
      closed = true;
      clearTimeout(reopenTimer);
      closeConnections();
      if (server.listening) await new Promise(resolve => server.close(resolve));
    },
  };
}

function consumeFault(
  faults: ServiceFaults,
  name: 'freezeBeforeEffect' | 'freezeAfterEffect' | 'crashAfterEffect',
): boolean {
  if (faults[name] <= 0) return false;
  faults[name]--;
  return true;
}

function respond(res: ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(value));
}

async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}
