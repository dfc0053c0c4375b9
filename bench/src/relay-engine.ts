/**
 * Engine of the relay bench, run as a process: two endpoints that hold half of
 * the layers each. It computes nothing, so that it never limits the relay, and
 * its tokens contain the time at which they were sent.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {fileURLToPath} from 'node:url';

const LAYERS = 24;
const FIRST_TOKEN = 256;
const GOLDEN_RATIO = 0.618;
let phase = 0;

/** Sessions in progress; a host queries their positions when one stalls. */
const sessions = new Map<string, {epoch: number; position: number}>();

interface SessionParams {
  readonly session: string;
  readonly generated: readonly number[];
  readonly epoch: number;
  readonly prompt: string;
  readonly maxTokens: number;
}

/**
 * Time on the clock that all processes of one machine share, in microseconds.
 *
 * @example
 * const latencyUs = clockUs() - sentUs;
 */
export function clockUs(): number {
  return Number(process.hrtime.bigint() / 1_000n);
}

/**
 * Token interval from the prompt in ms: `pace=20` sends a token every 20 ms.
 */
function paceOf(prompt: string): number {
  return Number(/^pace=(\d+)/.exec(prompt)?.[1] ?? 0);
}

async function readBody(req: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of req) text += String(chunk);
  return text;
}

function frame({epoch, prompt}: SessionParams, sent: number): string {
  const position = prompt.length + sent;
  const token = FIRST_TOKEN + (sent % 1_024);
  const text = ` @${clockUs()};`;
  return `${JSON.stringify({type: 'token', epoch, position, token, text})}\n`;
}

async function generate(req: IncomingMessage, res: ServerResponse) {
  const params = JSON.parse(await readBody(req)) as SessionParams;
  const {session, epoch, maxTokens, prompt} = params;
  const paceMs = paceOf(prompt);
  res.writeHead(200, {'content-type': 'application/x-ndjson'});
  let sent = params.generated?.length ?? 0;
  sessions.set(session, {epoch, position: prompt.length + sent});
  res.once('close', () => sessions.delete(session));
  const send = () => {
    res.write(frame(params, sent));
    sent += 1;
    sessions.set(session, {epoch, position: prompt.length + sent});
  };
  const end = () => {
    const usage = {promptTokens: prompt.length, generatedTokens: sent};
    const done = {type: 'done', epoch, reason: 'length', usage};
    res.end(`${JSON.stringify(done)}\n`);
  };
  if (paceMs === 0) {
    while (sent < maxTokens) send();
    return end();
  }
  const tick = () => {
    send();
    if (sent < maxTokens) return;
    clearInterval(timer);
    end();
  };
  // Spreads the phases: streams that start together must not send in bursts.
  phase = (phase + GOLDEN_RATIO) % 1;
  let timer = setTimeout(() => {
    timer = setInterval(tick, paceMs);
  }, phase * paceMs);
  res.once('close', () => clearInterval(timer));
}

function describeSession(path: string): object | undefined {
  const found = sessions.get(path.slice(path.lastIndexOf('/') + 1));
  if (found === undefined) return undefined;
  return {...found, kvPositions: found.position, kvDigest: ''};
}

function statusOf(endpoint: string, from: number, to: number): object {
  const load = {running: 0, queued: 0, kvFree: 1e9, kvTotal: 1e9, ageMs: 0};
  return {
    endpoint,
    instance: '1',
    model: 'rota-draft',
    version: 'v1',
    adapters: [],
    layers: {from, to},
    role: 'both',
    accelerator: 'gpu-large',
    failureDomain: 'nav-a',
    state: 'live',
    fencing: false,
    load,
    decodeUs: 100,
    prefillUs: 10,
  };
}

function serve(endpoint: string, from: number, to: number): Promise<string> {
  const server = createServer((req, res) => {
    if (req.method === 'POST' && req.url === '/engine/sessions')
      return void generate(req, res);
    const {pathname} = new URL(req.url ?? '/', 'http://localhost');
    const responses: Record<string, object> = {
      '/engine/status': statusOf(endpoint, from, to),
      '/engine/events': {events: [], next: 0},
    };
    const body = responses[pathname] ?? describeSession(pathname);
    req.resume();
    res.statusCode = body === undefined ? 404 : 200;
    res.end(JSON.stringify(body ?? {kind: 'not_found', endpoint}));
  });
  return new Promise(resolve =>
    server.listen(0, '127.0.0.1', () =>
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`),
    ),
  );
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  const half = LAYERS / 2;
  const first = await serve('relay-1', 0, half);
  const second = await serve('relay-2', half, LAYERS);
  process.stdout.write(`${JSON.stringify({ready: true, first, second})}\n`);
}
