/**
 * Baseline of the relay bench, run as a process: only the HTTP server of
 * Node.js and undici. It opens a session at one fixed engine and converts its
 * frames to the same server-sent events as the daemon's.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {randomUUID} from 'node:crypto';
import {fileURLToPath} from 'node:url';
import {Agent, request} from 'undici';

interface Frame {
  readonly type: 'token' | 'done';
  readonly epoch: number;
  readonly position: number;
  readonly text: string;
}

const agent = new Agent({headersTimeout: 0, bodyTimeout: 0});

async function readBody(req: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of req) text += String(chunk);
  return text;
}

async function relay(
  engine: string,
  req: IncomingMessage,
  res: ServerResponse,
) {
  const {prompt, max_tokens: maxTokens} = JSON.parse(await readBody(req)) as {
    prompt: string;
    max_tokens: number;
  };
  const id = `req_${randomUUID().replaceAll('-', '')}`;
  const head = {id, object: 'text_completion', created: 0, model: 'rota-draft'};
  const upstream = await request(`http://${engine}/engine/sessions`, {
    dispatcher: agent,
    method: 'POST',
    body: JSON.stringify({session: id, epoch: 1, prompt, maxTokens}),
  });
  res.writeHead(200, {'content-type': 'text/event-stream', 'x-request-id': id});
  let rest = '';
  for await (const chunk of upstream.body) {
    const lines = (rest + String(chunk)).split('\n');
    rest = lines.pop() ?? '';
    for (const line of lines) write(res, JSON.parse(line) as Frame, head);
  }
  res.end('data: [DONE]\n\n');
}

function write(res: ServerResponse, frame: Frame, head: {id: string}): void {
  const done = frame.type === 'done';
  const [text, finish] = done ? ['', 'length'] : [frame.text, null];
  const choice = {index: 0, text, logprobs: null, finish_reason: finish};
  const data = JSON.stringify({...head, choices: [choice]});
  const {epoch, position} = frame;
  const eventId = done ? '' : `id: t.${head.id}/relay-1/${epoch}/${position}\n`;
  res.write(`${eventId}data: ${data}\n\n`);
}

/** CPU and memory of this process, with the metric names of the daemon. */
function usage(): string {
  const {userCPUTime, systemCPUTime} = process.resourceUsage();
  const {rss, heapUsed} = process.memoryUsage();
  return [
    `process_cpu_user_seconds_total ${userCPUTime / 1e6}`,
    `process_cpu_system_seconds_total ${systemCPUTime / 1e6}`,
    `process_resident_memory_bytes ${rss}`,
    `nodejs_heap_size_used_bytes ${heapUsed}`,
  ].join('\n');
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  const engine = process.argv[2];
  const server = createServer((req, res) => {
    if (req.url === '/metrics') return void res.end(usage());
    relay(engine, req, res).catch(() => res.destroy());
  });
  server.listen(0, '127.0.0.1', () => {
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    process.stdout.write(`${JSON.stringify({ready: true, address})}\n`);
  });
}
