import {
  ERROR_RESPONSES,
  type ErrorKind,
  type ExecutionStatus,
} from './kinds.js';

/** An error as data. `kind` decides the response; the other fields explain it. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly message: string;
  readonly hint: string;
  readonly ran: ExecutionStatus;
  /** Time after which a retry is worthwhile, in milliseconds. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

export type Result<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly err: Failure};

interface FailureOptions {
  hint?: string;
  ran?: ExecutionStatus;
  retryAfterMs?: number;
  cause?: unknown;
}

/**
 * Creates a failure; `hint` and `ran` default to those of the kind.
 *
 * @example
 * failure('limit_exceeded', 'workspace has 8 requests in progress', {retryAfterMs: 200});
 */
export function failure(
  kind: ErrorKind,
  message: string,
  options: FailureOptions = {},
): Failure {
  const response = ERROR_RESPONSES[kind];
  return {kind, message, hint: response.hint, ran: response.ran, ...options};
}

/**
 * Wraps a value as a successful result.
 *
 * @example
 * return ok(route);
 */
export function ok<T>(value: T): Result<T> {
  return {ok: true, value};
}

/**
 * Creates a failed result.
 *
 * @example
 * return fail('no_route', `no endpoints hold layers ${from} to ${to}`);
 */
export function fail(
  kind: ErrorKind,
  message: string,
  options: FailureOptions = {},
): {readonly ok: false; readonly err: Failure} {
  return {ok: false, err: failure(kind, message, options)};
}

/** Carries a failure through code that can only throw, such as a stream. */
export class FailureError extends Error {
  constructor(readonly failure: Failure) {
    super(failure.message);
    this.name = 'FailureError';
  }
}

/**
 * Converts any thrown value to a failure.
 *
 * @example
 * catch (err) { return {ok: false, err: toFailure(err)}; }
 */
export function toFailure(err: unknown): Failure {
  if (err instanceof FailureError) return err.failure;
  const message = err instanceof Error ? err.message : String(err);
  return failure('internal', message, {cause: err});
}
