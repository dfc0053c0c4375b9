/** Recovery baselines; both know immediately which endpoint is faulty. */
import {setTimeout as sleep} from 'node:timers/promises';
import {id, type EndpointId, type RequestId} from '@chivewick/common';
import type {EngineFrame, Route} from '@chivewick/engines';
import type {PipelineRequest} from '@chivewick/pipeline';
import type {BenchFleet} from './pipeline-fleet.js';

/** How a baseline detects a stalled stream and continues. */
export interface Baseline {
  /**
   * Time without a frame after which a stream counts as failed, in
   * milliseconds.
   */
  readonly timeoutMs: number;
  /** The same before the first token; longer than any prefill. */
  readonly firstTokenMs: number;
  /**
   * Whether the generated tokens are kept; otherwise the request starts over.
   */
  readonly keepsTokens: boolean;
}

const MAX_EPOCHS = 5;

/**
 * Yields the tokens of a request, each position once. After a fault the request
 * is opened on `spare`, a route without the faulty endpoint.
 *
 * @example
 * for await (const _ of runBaseline(fleet, request, baseline, spare)) count();
 */
export async function* runBaseline(
  fleet: BenchFleet,
  request: PipelineRequest,
  baseline: Baseline,
  spare: Route,
): AsyncGenerator<number> {
  const generated: number[] = [];
  let route = fleet.routeOf([0, 0, 0]);
  for (let epoch = 1; epoch <= MAX_EPOCHS; epoch += 1) {
    const kept = baseline.keepsTokens ? [...generated] : [];
    const session = baseline.keepsTokens
      ? request.id
      : id<RequestId>(`${request.id}-${epoch}`);
    const abort = new AbortController();
    const {grant, model, adapter, priority, prompt, maxTokens} = request;
    const frames = fleet.api.open(
      {
        session,
        epoch,
        workspace: grant.workspace,
        model: model.model,
        version: model.version,
        adapter,
        priority,
        prompt,
        generated: kept,
        maxTokens,
        route,
        requestHash: '',
      },
      abort.signal,
    );
    const promptCount = Buffer.byteLength(prompt);
    for await (const frame of untilStalled(frames, baseline)) {
      if (frame.type === 'done') return;
      if (frame.type === 'fault') break;
      if (frame.position - promptCount < generated.length) continue;
      generated.push(frame.token);
      yield frame.token;
    }
    abort.abort();
    route = spare;
  }
  throw new Error(`${request.id} failed ${MAX_EPOCHS} times`);
}

/** Yields frames until the stream breaks or stalls; then a fault frame. */
async function* untilStalled(
  frames: AsyncIterable<EngineFrame>,
  baseline: Baseline,
): AsyncGenerator<EngineFrame> {
  const iterator = frames[Symbol.asyncIterator]();
  const fault: EngineFrame = {
    type: 'fault',
    epoch: 0,
    endpoint: id<EndpointId>(''),
    kind: 'next_stage_failed',
  };
  let timeoutMs = baseline.firstTokenMs;
  for (;;) {
    const timer = new AbortController();
    const read = iterator.next().catch(() => undefined);
    const timeout = sleep(timeoutMs, undefined, {signal: timer.signal});
    const result = await Promise.race([read, timeout.catch(() => undefined)]);
    timer.abort();
    timeoutMs = baseline.timeoutMs;
    if (result === undefined || result.done === true) {
      yield fault;
      return;
    }
    yield result.value;
  }
}
