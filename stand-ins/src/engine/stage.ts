/** Work of one stage: sessions, epochs, steps and forwarding. */
import {request} from 'undici';
import {
  createKv,
  heldPositions,
  runBatch,
  tokensDigest,
  truncateToCommon,
} from './kv.js';
import {promptTokens, sample} from './model.js';
import {
  EngineRefusal,
  kvFree,
  recordLoad,
  type Engine,
  type Session,
  type StageAddress,
} from './state.js';
import {occupyBatchSlot} from './steps.js';

/** Common fields of the messages between engines. */
export interface StageCall {
  readonly session: string;
  readonly epoch: number;
  readonly driver: string;
  readonly workspace: string;
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  readonly priority: number;
  readonly route: readonly StageAddress[];
  /** Index in the route of the stage that receives the message. */
  readonly index: number;
  /** All known tokens (`begin`), or those of the batch (`run`). */
  readonly tokens: readonly number[];
}

/** Message that opens or takes over a session on a stage. */
export interface BeginCall extends StageCall {
  readonly op: 'begin';
}

/** Message that runs the layers of a stage over a batch. */
export interface RunCall extends StageCall {
  readonly op: 'run';
  /** Position of the first token of the batch. */
  readonly position: number;
  readonly activations: readonly number[];
  /** First position that each stage must compute. */
  readonly starts: readonly number[];
}

/**
 * Checks the epoch of a message; a newer epoch takes over the session. Two heads
 * that use the same epoch are distinguished by their driver ids; a head whose
 * reader attached with a newer epoch keeps its driver id.
 *
 * @example
 * claimEpoch(engine, session, call);
 */
export function claimEpoch(
  engine: Engine,
  session: Session,
  call: {epoch: number; driver: string},
): void {
  const stale = call.driver !== session.driver && call.epoch <= session.epoch;
  if (stale) throw new EngineRefusal('stale_epoch', engine.options.endpoint);
  session.epoch = Math.max(session.epoch, call.epoch);
  session.driver = call.driver;
  session.lastUsedMs = performance.now();
}

function checkLoaded(engine: Engine, call: StageCall): void {
  const {loaded, options} = engine;
  const {from, to} = call.route[call.index];
  const isLoaded =
    !engine.loading &&
    loaded.model === call.model &&
    loaded.version === call.version &&
    (call.adapter === '' || loaded.adapters.includes(call.adapter)) &&
    loaded.from <= from &&
    to <= loaded.to;
  if (!isLoaded) throw new EngineRefusal('not_loaded', options.endpoint, 409);
}

/**
 * Opens or takes over a session on this stage. Returns the number of leading
 * positions whose KV it still holds, and the digest of the tokens at them.
 *
 * @example
 * const {kvPositions, kvDigest} = beginStage(engine, call);
 */
export function beginStage(engine: Engine, call: BeginCall) {
  const {faults, options} = engine;
  checkLoaded(engine, call);
  const promptText = Buffer.from(call.tokens.filter(t => t < 256)).toString();
  if (faults.crashOn !== '' && promptText.includes(faults.crashOn)) {
    engine.crash();
    throw new EngineRefusal('dead', options.endpoint, 503);
  }
  let session = engine.sessions.get(call.session);
  if (session === undefined) {
    if (faults.leaving)
      throw new EngineRefusal('leaving', options.endpoint, 503);
    if (kvFree(engine) < call.tokens.length)
      throw new EngineRefusal('overloaded', options.endpoint, 503);
    session = createSession(call);
    engine.sessions.set(call.session, session);
  }
  if (session.workspace !== call.workspace)
    throw new EngineRefusal('forbidden', options.endpoint, 403);
  claimEpoch(engine, session, call);
  const {from, to} = call.route[call.index];
  Object.assign(session, {from, to, priority: call.priority});
  truncateToCommon(session.kv, call.tokens);
  if (session.kv.tokens.length === 0)
    engine.cache.fill(session.kv, call.tokens, from, to);
  const kvPositions = heldPositions(session.kv, from, to);
  session.position = kvPositions;
  recordLoad(engine);
  return {
    kvPositions,
    kvDigest: tokensDigest(session.kv.choice, session.kv.tokens, kvPositions),
  };
}

function createSession(call: StageCall): Session {
  const {from, to} = call.route[call.index];
  const {workspace, model, version, adapter} = call;
  return {
    id: call.session,
    workspace,
    epoch: call.epoch,
    driver: call.driver,
    priority: call.priority,
    from,
    to,
    kv: createKv({workspace, model, version, adapter}),
    position: 0,
    pendingUs: 0,
    lastUsedMs: performance.now(),
  };
}

/**
 * Runs this stage's layers over a batch and forwards the result to the next stage.
 * Resolves with the token that the last stage samples, or undefined if a later
 * stage already holds the KV of all positions of the batch.
 *
 * @example
 * const token = await runStage(engine, call);
 */
export async function runStage(
  engine: Engine,
  call: RunCall,
): Promise<number | undefined> {
  const session = engine.sessions.get(call.session);
  const {endpoint} = engine.options;
  if (session === undefined)
    throw new EngineRefusal('next_stage_failed', endpoint);
  claimEpoch(engine, session, call);
  const {from, to} = call.route[call.index];
  if (heldPositions(session.kv, from, to) < call.position)
    throw new EngineRefusal('next_stage_failed', endpoint);
  const {decodeUs, prefillUs} = engine.options;
  const count = call.tokens.length;
  const layerUs = count === 1 ? decodeUs : prefillUs * count;
  await occupyBatchSlot(engine, session, layerUs * (to - from));
  // A newer epoch may have taken over the session during the step.
  claimEpoch(engine, session, call);
  const outputs = runBatch(
    session.kv,
    {from, to},
    call.position,
    call.tokens,
    call.activations,
  );
  engine.computed += count * (to - from);
  session.position = call.position + count;
  return forward(engine, session, call, outputs);
}

async function forward(
  engine: Engine,
  session: Session,
  call: RunCall,
  outputs: readonly number[],
): Promise<number | undefined> {
  const index = call.index + 1;
  if (index === call.route.length) {
    const epoch = engine.options.sampleByEpoch ? call.epoch : undefined;
    return sample(outputs.at(-1)!, epoch);
  }
  const skip = Math.max(0, call.starts[index] - call.position);
  if (skip >= outputs.length) return undefined;
  const response = await callStage<{token?: number}>(
    engine,
    {
      ...call,
      epoch: session.epoch,
      index,
      position: call.position + skip,
      tokens: call.tokens.slice(skip),
      activations: outputs.slice(skip),
    },
    session.head?.abort.signal,
  );
  return response.token;
}

/**
 * Posts a message to the stage at its index. Throws the refusal of that stage, or
 * `next_stage_failed` if the connection fails.
 *
 * @example
 * const {token} = await callStage<{token?: number}>(engine, call);
 */
export async function callStage<T>(
  engine: Engine,
  call: BeginCall | RunCall,
  signal?: AbortSignal,
): Promise<T> {
  const {endpoint, address} = call.route[call.index];
  const signals = [engine.stopController.signal, ...(signal ? [signal] : [])];
  try {
    const res = await request(`http://${address}/engine/stage`, {
      method: 'POST',
      dispatcher: engine.agent,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(call),
      signal: AbortSignal.any(signals),
    });
    const body = (await res.body.json()) as {kind: string; endpoint: string};
    if (res.statusCode === 200) return body as T;
    throw new EngineRefusal(body.kind, body.endpoint, res.statusCode);
  } catch (err) {
    if (err instanceof EngineRefusal && err.kind !== 'dead') throw err;
    throw new EngineRefusal('next_stage_failed', endpoint, 502);
  }
}

/**
 * Frees a session; its full blocks are kept in the prefix cache.
 *
 * @example
 * freeSession(engine, session);
 */
export function freeSession(engine: Engine, session: Session): void {
  clearTimeout(session.head?.graceTimer);
  session.head?.abort.abort();
  engine.cache.store(session.kv, session.from, session.to);
  if (engine.sessions.get(session.id) === session)
    engine.sessions.delete(session.id);
  recordLoad(engine);
}

/**
 * Returns the prompt tokens followed by the generated tokens of an open request.
 *
 * @example
 * const tokens = knownTokens('hi', [300]); // [104, 105, 300]
 */
export function knownTokens(
  prompt: string,
  generated: readonly number[],
): number[] {
  return [...promptTokens(prompt), ...generated];
}
