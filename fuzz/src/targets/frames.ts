import assert from 'node:assert/strict';
import {
  createSilentLogger,
  id,
  ok,
  type ModelName,
  type PlanName,
  type RequestId,
  type WorkspaceId,
} from '@chivewick/common';
import {
  createPipeline,
  parseEventId,
  type PipelineEvent,
  type PipelineRequest,
} from '@chivewick/pipeline';
import fc from 'fast-check';
import type {Target} from '../core/target.js';
import {
  attemptScript,
  createScriptedEngine,
  ENDPOINT,
  type AttemptScript,
} from './frames-engine.js';

/** Streams of the attempts of one request. */
interface FramesInput {
  readonly maxTokens: number;
  readonly attempts: readonly AttemptScript[];
}

const MODEL = {
  model: id<ModelName>('rota-draft'),
  version: 'v1',
  layers: 4,
  adapters: [],
};
const PROMPT = 'draft';
const ROUTE = [{endpoint: ENDPOINT, address: '127.0.0.1:1', from: 0, to: 4}];

/** The pipeline with engines whose streams are edited and split at any byte. */
export const framesTarget: Target<FramesInput> = {
  name: 'frames',
  property:
    'Whatever the engines send, tokens reach the caller in the order of their positions, each from the newest attempt and well-formed; exactly one done or failed event ends the stream, and no exception escapes.',
  inputs: fc.record({
    maxTokens: fc.integer({min: 1, max: 12}),
    attempts: fc.array(attemptScript, {minLength: 1, maxLength: 4}),
  }),
  runsInTests: 1_000,
  async open() {
    return {check: checkStream, close: async () => {}};
  },
};

async function checkStream({maxTokens, attempts}: FramesInput): Promise<void> {
  const engines = createScriptedEngine(attempts);
  const pipeline = createPipeline({
    engines,
    routes: {
      choose: () => ok(ROUTE),
      observe: () => {},
      endpoints: () => [],
    },
    log: createSilentLogger(),
    limits: {resumeWindowMs: 0},
  });
  let position = Buffer.byteLength(PROMPT);
  let last: PipelineEvent | undefined;
  const {signal} = new AbortController();
  for await (const event of pipeline.run(requestOf(maxTokens), signal)) {
    assert(
      last === undefined || last.type === 'token',
      'event after the end of the stream',
    );
    last = event;
    checkEvent(event, position, engines.opened.at(-1));
    if (event.type === 'token') position += 1;
  }
  assert(
    last !== undefined && last.type !== 'token',
    'the stream did not end with done or failed',
  );
  assert.equal(pipeline.activeRequests(), 0);
  await pipeline.close();
}

function checkEvent(
  event: PipelineEvent,
  position: number,
  epoch: number | undefined,
): void {
  if (event.type === 'done') {
    const {reason, usage} = event;
    assert(reason === 'stop' || reason === 'length', 'invalid reason in done');
    assert(Number.isSafeInteger(usage.promptTokens), 'invalid usage in done');
    assert(
      Number.isSafeInteger(usage.generatedTokens),
      'invalid usage in done',
    );
  }
  if (event.type !== 'token') return;
  assert.equal(event.position, position, 'a token is out of order');
  assert(Number.isSafeInteger(event.token), 'token is not a number');
  assert.equal(typeof event.text, 'string', 'text is not a string');
  const named = parseEventId(event.id);
  assert.equal(named?.position, position, 'the event id names another token');
  assert.equal(named?.epoch, epoch, 'the token comes from another attempt');
}

function requestOf(maxTokens: number): PipelineRequest {
  return {
    id: id<RequestId>('req-1'),
    grant: {
      workspace: id<WorkspaceId>('san-fermin'),
      plan: id<PlanName>('parish'),
      models: new Map([[MODEL.model, MODEL]]),
      services: new Map(),
      priority: 1,
      concurrency: 8,
      tokensPerSecond: 400,
    },
    model: MODEL,
    adapter: '',
    prompt: PROMPT,
    maxTokens,
    priority: 1,
  };
}
