/** Takes over a stream that another host began. */
import {
  fail,
  id,
  ok,
  type EndpointId,
  type ModelGrant,
  type RequestId,
  type Result,
} from '@chivewick/common';
import type {EngineFrame, HeadState, SessionState} from '@chivewick/engines';
import {parseEventId, type EventId} from './event-id.js';
import type {Context, Run} from './run-state.js';
import {createAttempt, createRun} from './stream.js';
import type {PipelineRequest, ResumeRequest} from './types.js';

const MAX_ATTACH_ATTEMPTS = 4;

/** A head that holds the session, as found by `findHead`. */
interface FoundHead {
  readonly endpoint: EndpointId;
  readonly address: string;
  readonly epoch: number;
  readonly state: HeadState;
}

/**
 * Attaches to the session that an event id names. The head replays its complete
 * token log, including the prompt, so that this host can also recover from a
 * later fault. If the head of the event id no longer holds the session or was
 * replaced, the head with the highest epoch among the known endpoints is used.
 *
 * @example
 * const run = await attachRun(ctx, 'req-1/e1/1/41', {id, grant}, signal);
 */
export async function attachRun(
  ctx: Context,
  eventId: string,
  request: ResumeRequest,
  signal: AbortSignal,
): Promise<Result<Run>> {
  const event = parseEventId(eventId);
  if (event === undefined || event.request !== request.id)
    return fail(
      'invalid_request',
      `not an event id of ${request.id}: ${eventId}`,
    );
  const staleHeads = new Set<EndpointId>();
  for (
    let attempts = 0;
    attempts < MAX_ATTACH_ATTEMPTS && !signal.aborted;
    attempts += 1
  ) {
    const head = await findHead(ctx, event, staleHeads);
    if (head === undefined) break;
    if (head.state.workspace !== request.grant.workspace)
      return fail('forbidden', 'the stream belongs to another workspace');
    if (!request.grant.models.has(head.state.model))
      return fail('forbidden', 'the plan no longer grants the model');
    const run = await attachToHead(ctx, event, request, head);
    if (run.ok || run.err.kind === 'forbidden') return run;
    staleHeads.add(head.endpoint);
  }
  return fail('gone', `no engine holds the session of ${request.id}`);
}

/**
 * Returns the head of the event id if no stage of its route has a newer epoch,
 * otherwise the newest head among all known endpoints. A replaced head that did
 * not receive its cancel still answers for its session.
 */
async function findHead(
  ctx: Context,
  event: EventId,
  staleHeads: ReadonlySet<EndpointId>,
): Promise<FoundHead | undefined> {
  const known = [...ctx.routes.endpoints()];
  const named = known.filter(({endpoint}) => endpoint === event.head);
  const namedHeads = await queryHeads(ctx, event.request, named);
  const [head] = namedHeads.filter(({endpoint}) => !staleHeads.has(endpoint));
  if (head !== undefined && (await isCurrent(ctx, event.request, head)))
    return head;
  const others = known.filter(({endpoint}) => endpoint !== event.head);
  const heads = [
    ...namedHeads,
    ...(await queryHeads(ctx, event.request, others)),
  ];
  return heads
    .filter(({endpoint}) => !staleHeads.has(endpoint))
    .sort((a, b) => b.epoch - a.epoch)[0];
}

async function isCurrent(
  ctx: Context,
  session: RequestId,
  head: FoundHead,
): Promise<boolean> {
  const laterStages = head.state.route.slice(1);
  const states = await Promise.all(
    laterStages.map(({address}) =>
      ctx.engines.session(address, session, ctx.limits.maxProbeMs),
    ),
  );
  const current = states.filter(
    state => state.ok && state.value.epoch <= head.epoch,
  );
  return laterStages.length > 0 && current.length === laterStages.length;
}

async function queryHeads(
  ctx: Context,
  session: RequestId,
  endpoints: ReadonlyArray<{endpoint: EndpointId; address: string}>,
): Promise<FoundHead[]> {
  const queries = endpoints.map(async ({endpoint, address}) => {
    const {maxProbeMs} = ctx.limits;
    const state = await ctx.engines.session(address, session, maxProbeMs);
    return {endpoint, address, state};
  });
  return (await Promise.all(queries)).flatMap(({endpoint, address, state}) => {
    const value: SessionState | undefined = state.ok ? state.value : undefined;
    if (value?.head === undefined) return [];
    return [{endpoint, address, epoch: value.epoch, state: value.head}];
  });
}

async function attachToHead(
  ctx: Context,
  event: EventId,
  request: ResumeRequest,
  head: FoundHead,
): Promise<Result<Run>> {
  const {workspace} = request.grant;
  const epoch = head.epoch + 1;
  const body = {epoch, workspace, fromPosition: 0};
  const attempt = createAttempt(epoch, head.state.route, signal =>
    ctx.engines.attach(head.address, request.id, body, signal),
  );
  const prompt = await readPrompt(ctx, attempt.reader, head.state.promptTokens);
  if (prompt === undefined) {
    attempt.abort.abort();
    return fail(
      'version_mismatch',
      `${head.endpoint} did not replay the prompt`,
    );
  }
  const run = createRun(
    ctx,
    restoreRequest(request, head.state, prompt),
    attempt,
  );
  run.deliveredPosition = Math.max(run.deliveredPosition, event.position);
  const fields = {request: request.id, endpoint: head.endpoint, epoch};
  ctx.log.event('streamResumed', fields);
  return ok(run);
}

async function readPrompt(
  ctx: Context,
  reader: {nextWithin(ms: number): Promise<unknown>},
  count: number,
): Promise<string | undefined> {
  const bytes: number[] = [];
  while (bytes.length < count) {
    const read = (await reader.nextWithin(ctx.limits.maxProbeMs)) as {
      kind: string;
      frame?: EngineFrame;
    };
    if (read.frame?.type !== 'token') return undefined;
    if (read.frame.position === bytes.length) bytes.push(read.frame.token);
  }
  return Buffer.from(bytes).toString('utf8');
}

function restoreRequest(
  request: ResumeRequest,
  state: HeadState,
  prompt: string,
): PipelineRequest {
  const {model, version, adapter, priority, maxTokens, route} = state;
  const granted = request.grant.models.get(model);
  const layers = route.at(-1)!.to;
  const modelGrant: ModelGrant = {
    adapters: [adapter],
    ...granted,
    model,
    version,
    layers,
  };
  return {
    ...request,
    id: id<RequestId>(request.id),
    model: modelGrant,
    adapter,
    prompt,
    maxTokens,
    priority,
  };
}
