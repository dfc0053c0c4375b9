/** Work of the first stage: it runs the stages in order and serves the token log. */
import type {ServerResponse} from 'node:http';
import {request} from 'undici';
import {embedBatch, tokensDigest, truncateToCommon} from './kv.js';
import {tokenText} from './model.js';
import {
  beginStage,
  callStage,
  freeSession,
  knownTokens,
  runStage,
  type BeginCall,
} from './stage.js';
import {
  EngineRefusal,
  waitWhileFrozen,
  recordLoad,
  type Engine,
  type Head,
  type OpenRequest,
  type Session,
} from './state.js';

/** Maximum number of positions in a prefill batch. */
const PREFILL_CHUNK = 64;

let driverCount = 0;

/**
 * Opens a session on this engine as its head and starts to generate.
 * Throws an `EngineRefusal` for a stale epoch, another workspace, or a session that
 * the engine cannot accept.
 *
 * @example
 * const session = openSession(engine, req);
 */
export function openSession(engine: Engine, req: OpenRequest): Session {
  const {endpoint} = engine.options;
  if (req.route[0]?.endpoint !== endpoint)
    throw new EngineRefusal('not_loaded', endpoint);
  const existing = engine.sessions.get(req.session);
  if (existing !== undefined && existing.epoch >= req.epoch)
    throw new EngineRefusal('stale_epoch', endpoint);
  const call = createBeginCall(engine, req);
  beginStage(engine, call);
  const session = engine.sessions.get(req.session)!;
  supersede(session.head);
  const head: Head = {
    req,
    log: [...call.tokens],
    promptCount: call.tokens.length - req.generated.length,
    wake: () => {},
    abort: new AbortController(),
  };
  session.head = head;
  void drive(engine, session, head, call).catch(err => {
    head.outcome ??= {
      kind: err instanceof EngineRefusal ? err.kind : 'next_stage_failed',
      endpoint: err instanceof EngineRefusal ? err.endpoint : endpoint,
    };
    head.wake();
  });
  return session;
}

function createBeginCall(engine: Engine, req: OpenRequest): BeginCall {
  driverCount += 1;
  const {session, epoch, workspace, model, version, adapter} = req;
  return {
    op: 'begin',
    session,
    epoch,
    driver: `${engine.options.endpoint}/${engine.instance}/${driverCount}`,
    workspace,
    model,
    version,
    adapter,
    priority: req.priority,
    route: req.route,
    index: 0,
    tokens: knownTokens(req.prompt, req.generated),
  };
}

/** Ends an earlier run of the same session on this engine as stale. */
function supersede(head: Head | undefined): void {
  if (head === undefined) return;
  head.outcome ??= {kind: 'stale_epoch'};
  head.abort.abort();
  clearTimeout(head.graceTimer);
  head.wake();
}

async function drive(
  engine: Engine,
  session: Session,
  head: Head,
  begin: BeginCall,
): Promise<void> {
  const {log, req} = head;
  const starts = await beginAll(engine, head, begin);
  let position = starts[0];
  while (log.length - head.promptCount < req.maxTokens) {
    await waitWhileFrozen(engine);
    if (head.outcome !== undefined) return;
    const end = Math.min(position + PREFILL_CHUNK, log.length);
    const tokens = log.slice(position, end);
    const token = await runStage(engine, {
      ...begin,
      op: 'run',
      epoch: session.epoch,
      starts,
      position,
      tokens,
      activations: embedBatch(session.kv, position, tokens),
    });
    if (head.outcome !== undefined) return;
    position = end;
    if (end < log.length || token === undefined) continue;
    log.push(token);
    head.wake();
  }
  head.outcome = {reason: 'length'};
  head.wake();
  cancelStages(engine, session, head);
  // The token log is kept for a reader that attaches later; the KV moves to the
  // prefix cache.
  engine.cache.store(session.kv, session.from, session.to);
  truncateToCommon(session.kv, []);
  recordLoad(engine);
}

/**
 * Begins on every stage and returns the first position that each must compute: the
 * lowest that is missing on it or on a later stage, because the KV of a later stage
 * can only be computed from the activations of all stages before it.
 */
async function beginAll(
  engine: Engine,
  head: Head,
  begin: BeginCall,
): Promise<number[]> {
  const beginResults = await Promise.all(
    begin.route.map((_, index) =>
      index === 0
        ? beginStage(engine, begin)
        : callStage<{kvPositions: number; kvDigest: string}>(
            engine,
            {...begin, index},
            head.abort.signal,
          ),
    ),
  );
  // The last known position is always computed, to sample the next token.
  let firstMissing = begin.tokens.length - 1;
  const starts = new Array<number>(beginResults.length);
  for (let index = beginResults.length - 1; index >= 0; index -= 1) {
    const {kvPositions, kvDigest} = beginResults[index];
    const matching =
      kvDigest === tokensDigest(begin, begin.tokens, kvPositions)
        ? kvPositions
        : 0;
    firstMissing = Math.min(firstMissing, matching);
    starts[index] = firstMissing;
  }
  return starts;
}

/**
 * Frees the session on the other stages of its route; does not wait for responses.
 *
 * @example
 * cancelStages(engine, session, head);
 */
export function cancelStages(
  engine: Engine,
  session: Session,
  head: Head,
): void {
  for (const {address} of head.req.route.slice(1))
    void request(`http://${address}/engine/sessions/${session.id}/cancel`, {
      method: 'POST',
      dispatcher: engine.agent,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({epoch: session.epoch}),
      signal: engine.stopController.signal,
    }).then(
      res => res.body.dump(),
      () => {},
    );
}

/**
 * Streams the token log from a position until the run ends, another reader
 * attaches, or the connection closes. Unless another reader has attached, the
 * session is then kept for `graceMs`.
 *
 * @example
 * await streamLog(engine, session, head, res, fromPosition);
 */
export async function streamLog(
  engine: Engine,
  session: Session,
  head: Head,
  res: ServerResponse,
  fromPosition: number,
): Promise<void> {
  const reader = Symbol('reader');
  head.reader = reader;
  head.wake();
  clearTimeout(head.graceTimer);
  res.writeHead(200, {'content-type': 'application/x-ndjson'});
  res.flushHeaders();
  const {epoch} = session;
  const send = (frame: object) => res.write(`${JSON.stringify(frame)}\n`);
  res.once('close', () => head.wake());
  let cursor = fromPosition;
  while (!res.closed) {
    await waitWhileFrozen(engine);
    if (head.reader !== reader) {
      send({type: 'fault', epoch, kind: 'stale_epoch'});
      break;
    }
    for (; cursor < head.log.length; cursor += 1)
      sendToken(engine, send, epoch, cursor, head.log[cursor]);
    if (head.outcome !== undefined) {
      send(lastFrame(head, epoch));
      break;
    }
    await new Promise<void>(resolve => (head.wake = resolve));
  }
  res.end();
  if (head.reader === reader) startGrace(engine, session, head);
}

function sendToken(
  engine: Engine,
  send: (frame: object) => void,
  epoch: number,
  position: number,
  token: number,
): void {
  const frame = {type: 'token', epoch, position, token, text: tokenText(token)};
  const {staleFrames} = engine.faults;
  if (staleFrames) send({...frame, epoch: epoch - 1, token: token + 1});
  send(frame);
  if (staleFrames) send({...frame, token: token + 1});
}

function lastFrame(head: Head, epoch: number): object {
  const outcome = head.outcome!;
  if ('kind' in outcome) return {type: 'fault', epoch, ...outcome};
  const usage = {
    promptTokens: head.promptCount,
    generatedTokens: head.log.length - head.promptCount,
  };
  return {type: 'done', epoch, ...outcome, usage};
}

/** Frees the session unless a reader attaches within the grace period. */
function startGrace(engine: Engine, session: Session, head: Head): void {
  if (session.head !== head || engine.stopped) return;
  clearTimeout(head.graceTimer);
  head.graceTimer = setTimeout(() => {
    if (session.head !== head) return;
    cancelStages(engine, session, head);
    freeSession(engine, session);
  }, engine.options.graceMs).unref();
}
