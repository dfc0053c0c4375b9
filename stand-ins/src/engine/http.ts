/** HTTP routes of the engine stand-in. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {App} from '@tinyhttp/app';
import {faultsError} from './faults.js';
import {cancelStages, openSession, streamLog} from './head.js';
import {
  createKv,
  exportKv,
  heldPositions,
  importKv,
  tokensDigest,
} from './kv.js';
import {applyOrder, type OrderBody} from './orders.js';
import {
  beginStage,
  freeSession,
  runStage,
  type BeginCall,
  type RunCall,
} from './stage.js';
import {
  EngineRefusal,
  waitWhileFrozen,
  reportedLoad,
  type Engine,
  type OpenRequest,
  type Session,
} from './state.js';

type Handler = (req: IncomingMessage, res: ServerResponse) => Promise<unknown>;

async function readJson<T>(req: IncomingMessage): Promise<T> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}') as T;
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  if (res.closed || res.headersSent) return;
  const text = JSON.stringify(body);
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(text);
}

/** Wraps a handler so that its result or its `EngineRefusal` is sent. */
function wrapHandler(engine: Engine, handler: Handler) {
  return async (req: IncomingMessage, res: ServerResponse) => {
    try {
      await waitWhileFrozen(engine);
      const body = await handler(req, res);
      await waitWhileFrozen(engine);
      if (body !== undefined) sendJson(res, 200, body);
    } catch (err) {
      if (engine.stopped) return;
      await waitWhileFrozen(engine).catch(() => {});
      const {endpoint} = engine.options;
      if (err instanceof EngineRefusal)
        sendJson(res, err.status, {kind: err.kind, endpoint: err.endpoint});
      else
        sendJson(res, 400, {
          kind: 'invalid_request',
          endpoint,
          message: String(err),
        });
    }
  };
}

function params(req: IncomingMessage): {session: string} {
  return (req as IncomingMessage & {params: {session: string}}).params;
}

function findSession(engine: Engine, req: IncomingMessage): Session {
  const session = engine.sessions.get(params(req).session);
  if (session === undefined)
    throw new EngineRefusal('not_found', engine.options.endpoint, 404);
  return session;
}

function describeSession(session: Session) {
  const kvPositions = heldPositions(session.kv, session.from, session.to);
  const {head} = session;
  return {
    epoch: session.epoch,
    position: session.position,
    kvPositions,
    kvDigest: tokensDigest(session.kv.choice, session.kv.tokens, kvPositions),
    ...(head && {
      head: {
        workspace: session.workspace,
        ...session.kv.choice,
        priority: session.priority,
        promptTokens: head.promptCount,
        maxTokens: head.req.maxTokens,
        route: head.req.route,
      },
    }),
  };
}

function status(engine: Engine) {
  const {loaded, options} = engine;
  const {model, version, adapters, from, to, role} = loaded;
  const {endpoint, accelerator, failureDomain, fencing} = options;
  return {
    endpoint,
    instance: engine.instance,
    model,
    version,
    adapters,
    layers: {from, to},
    role,
    accelerator,
    failureDomain,
    state: engine.faults.leaving ? 'leaving' : 'live',
    fencing,
    load: reportedLoad(engine),
    decodeUs: options.decodeUs,
    prefillUs: options.prefillUs,
  };
}

async function attach(
  engine: Engine,
  req: IncomingMessage,
  res: ServerResponse,
) {
  const body = await readJson<{
    epoch: number;
    workspace: string;
    fromPosition: number;
  }>(req);
  const session = findSession(engine, req);
  const {endpoint} = engine.options;
  if (session.head === undefined)
    throw new EngineRefusal('not_found', endpoint, 404);
  if (session.workspace !== body.workspace)
    throw new EngineRefusal('forbidden', endpoint, 403);
  if (body.epoch <= session.epoch)
    throw new EngineRefusal('stale_epoch', endpoint);
  session.epoch = body.epoch;
  await streamLog(engine, session, session.head, res, body.fromPosition);
}

async function cancel(engine: Engine, req: IncomingMessage) {
  const {epoch} = await readJson<{epoch: number}>(req);
  const session = findSession(engine, req);
  if (epoch < session.epoch)
    throw new EngineRefusal('stale_epoch', engine.options.endpoint);
  const {head} = session;
  if (head !== undefined) {
    cancelStages(engine, session, head);
    head.outcome ??= {kind: 'not_found'};
    head.wake();
  }
  freeSession(engine, session);
  return {};
}

async function importSession(engine: Engine, req: IncomingMessage) {
  const body = await readJson<{
    epoch: number;
    workspace?: string;
    layers: {from: number; to: number};
    kv: {data: string};
  }>(req);
  const {session: id} = params(req);
  const data = JSON.parse(body.kv.data) as Parameters<typeof importKv>[1] & {
    workspace: string;
  };
  const session: Session = engine.sessions.get(id) ?? {
    id,
    workspace: data.workspace,
    epoch: body.epoch,
    driver: '',
    priority: 0,
    ...body.layers,
    kv: createKv(data.choice),
    position: 0,
    pendingUs: 0,
    lastUsedMs: performance.now(),
  };
  if (body.epoch < session.epoch)
    throw new EngineRefusal('stale_epoch', engine.options.endpoint);
  engine.sessions.set(id, session);
  importKv(session.kv, data);
  return describeSession(session);
}

async function exportSession(engine: Engine, req: IncomingMessage) {
  const {from, to} = await readJson<{from: number; to: number}>(req);
  const session = findSession(engine, req);
  const kv = exportKv(session.kv, from, to);
  const data = {workspace: session.workspace, ...JSON.parse(kv.data)};
  return {...kv, data: JSON.stringify(data)};
}

async function stageCall(engine: Engine, req: IncomingMessage) {
  const call = await readJson<BeginCall | RunCall>(req);
  const delayMs = engine.faults.linkDelayMs;
  const {signal} = engine.stopController;
  if (delayMs > 0) await sleep(delayMs, undefined, {signal});
  if (call.op === 'begin') return beginStage(engine, call);
  return {token: await runStage(engine, call)};
}

/**
 * Creates the HTTP application of an engine: the protocol of the design page,
 * section 4.2, and `GET` and `POST /faults`.
 *
 * @example
 * const app = createEngineApp(engine);
 */
export function createEngineApp(engine: Engine): App {
  const app = new App();
  const wrap = (handler: Handler) => wrapHandler(engine, handler);
  app.get('/faults', (_, res) => sendJson(res, 200, engine.faults));
  app.post('/faults', async (req, res) => {
    const body = await readJson<Partial<Engine['faults']>>(req);
    const message = faultsError(body);
    if (message !== undefined) return sendJson(res, 400, {message});
    sendJson(res, 200, {...engine.faults, ...body});
    setFaults(engine, body);
  });
  app.get(
    '/engine/status',
    wrap(async () => status(engine)),
  );
  app.get(
    '/engine/events',
    wrap(async req => {
      const query = new URL(req.url!, 'http://engine').searchParams;
      return engine.cache.events(Number(query.get('after') ?? 0));
    }),
  );
  app.post(
    '/engine/stage',
    wrap(req => stageCall(engine, req)),
  );
  app.post(
    '/engine/sessions',
    wrap(async (req, res) => {
      const body = await readJson<OpenRequest>(req);
      const session = openSession(engine, body);
      const head = session.head!;
      await streamLog(engine, session, head, res, head.log.length);
    }),
  );
  const path = '/engine/sessions/:session';
  app.get(
    path,
    wrap(async req => describeSession(findSession(engine, req))),
  );
  app.post(
    `${path}/attach`,
    wrap((req, res) => attach(engine, req, res)),
  );
  app.post(
    `${path}/cancel`,
    wrap(req => cancel(engine, req)),
  );
  app.post(
    `${path}/kv/export`,
    wrap(req => exportSession(engine, req)),
  );
  app.post(
    `${path}/kv/import`,
    wrap(req => importSession(engine, req)),
  );
  app.post(
    '/engine/orders',
    wrap(async req => {
      await applyOrder(engine, await readJson<OrderBody>(req));
      return status(engine);
    }),
  );
  return app;
}

/**
 * Sets faults. Clearing `freeze` resumes the suspended work.
 *
 * @example
 * setFaults(engine, {freeze: true});
 */
export function setFaults(
  engine: Engine,
  faults: Partial<Engine['faults']>,
): void {
  Object.assign(engine.faults, faults);
  if (engine.faults.crash) return engine.crash();
  if (!engine.faults.freeze)
    for (const resume of engine.freezeWaiters.splice(0)) resume();
}
