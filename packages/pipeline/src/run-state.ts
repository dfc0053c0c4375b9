/** State of the requests in progress on this host. */
import type {
  EndpointId,
  Epoch,
  Failure,
  Logger,
  RequestId,
} from '@chivewick/common';
import type {Route} from '@chivewick/engines';
import type {FrameReader} from './frame-reader.js';
import type {Pace} from './pace.js';
import type {
  DoneEvent,
  PipelineOptions,
  PipelineRequest,
  RecoveryLimits,
} from './types.js';

/** One epoch of a request: a route and the frame stream on it. */
export interface Attempt {
  readonly epoch: Epoch;
  readonly route: Route;
  readonly reader: FrameReader;
  readonly abort: AbortController;
  readonly startMs: number;
  /** Whether a token of this epoch has arrived. */
  receivedToken: boolean;
  /** Crash reports to quarantine that include this attempt, by endpoint. */
  readonly crashReports: Map<EndpointId, Promise<void>>;
  /** Route to switch to at the next token; its KV is already transferred. */
  successor?: Route;
  /** Whether a move of this attempt is being prepared. */
  moving: boolean;
}

/** A request in progress, over all its attempts. */
export interface Run {
  readonly request: PipelineRequest;
  readonly fingerprint: string;
  readonly pace: Pace;
  paceSamples: number;
  /** Prompt tokens known so far, then generated tokens. */
  readonly tokens: number[];
  readonly promptCount: number;
  /** Position of the last token that was delivered to the caller. */
  deliveredPosition: number;
  attempt: Attempt;
  recoveries: number;
  /** Start of the current stall; undefined while tokens arrive. */
  stalledSinceMs?: number;
  lastTokenMs: number;
  /** Excluded endpoints, with the time at which each exclusion ends. */
  readonly excludedUntilMs: Map<EndpointId, number>;
  /** Earlier attempts, cancelled once a token of a later one arrives. */
  readonly replaced: Attempt[];
  /** Factor on the stall limit; doubles with each stage found slow. */
  stallLimitFactor: number;
}

/** How an attempt ended. */
export type AttemptOutcome =
  | {readonly kind: 'done'; readonly event: DoneEvent}
  | {readonly kind: 'failed'; readonly err: Failure}
  | {readonly kind: 'switch'; readonly route: Route}
  | {
      readonly kind: 'recover';
      /** The faults that caused the recovery. */
      readonly faults: readonly StageFault[];
    };

/** A fault of one stage; `cause` is written to logs and traces. */
export interface StageFault {
  readonly endpoint: EndpointId;
  readonly cause: 'broken' | 'silent' | 'slow' | 'leaving' | 'refused';
}

/** Parts of the pipeline that all requests share. */
export interface Context extends PipelineOptions {
  readonly log: Logger;
  readonly limits: RecoveryLimits;
  readonly runs: Map<RequestId, Run>;
  /** Decode pace by model; the initial pace of new streams. */
  readonly decodePaces: Map<string, Pace>;
  /** Time to the first token, divided by the number of known tokens, by model. */
  readonly prefillPaces: Map<string, Pace>;
}

/**
 * Position of the next token that a run expects.
 *
 * @example
 * if (frame.position !== nextPosition(run)) drop(frame);
 */
export function nextPosition(run: Run): number {
  return run.tokens.length;
}

/**
 * Generated tokens known so far.
 *
 * @example
 * const generated = generatedTokens(run);
 */
export function generatedTokens(run: Run): number[] {
  return run.tokens.slice(run.promptCount);
}
