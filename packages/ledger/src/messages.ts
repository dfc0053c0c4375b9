import {failure, FailureError, type HostId} from '@chivewick/common';
import {z} from 'zod';
import type {AttemptRequest} from './attempt.js';
import type {RecordedOutcome} from './record.js';

// Loose objects, so that fields added by a newer release are accepted.
const routingFields = {
  id: z.string(),
  waitMs: z.number(),
  excluded: z.array(z.string()),
};
const outcome = z.discriminatedUnion('kind', [
  z.looseObject({
    kind: z.literal('answered'),
    status: z.int(),
    contentType: z.string(),
    bytes: z.int().nonnegative(),
    body: z.string().optional(),
  }),
  z.looseObject({kind: z.literal('unknown'), message: z.string()}),
  z.looseObject({
    kind: z.literal('not_run'),
    message: z.string(),
    calls: z.array(z.string()),
  }),
]);

/** Parameters of `ledger.call`. Times are relative, so clocks need not agree. */
export interface CallParams extends Omit<AttemptRequest, 'deadline'> {
  readonly waitMs: number;
  readonly excluded: readonly HostId[];
}

/** Parameters of `ledger.lookup`. */
export interface LookupParams {
  readonly id: string;
  readonly waitMs: number;
  readonly excluded: readonly HostId[];
}

/** Parameters of `ledger.settle`. */
export interface SettleParams extends LookupParams {
  readonly intent: string;
  readonly outcome: RecordedOutcome;
}

/** Schemas of the parameters of the ledger's peer methods. */
export const paramSchemas = {
  call: z.looseObject({
    ...routingFields,
    callId: z.string(),
    digest: z.string(),
    service: z.string(),
    abandoned: z.string().optional(),
    call: z.looseObject({
      method: z.string(),
      path: z.string(),
      contentType: z.string().optional(),
      body: z.string().optional(),
      idempotencyKey: z.string().optional(),
      traceparent: z.string().optional(),
    }),
  }),
  lookup: z.looseObject(routingFields),
  settle: z.looseObject({...routingFields, intent: z.string(), outcome}),
  handover: z.looseObject({partition: z.int().nonnegative()}),
};

/**
 * Validates received parameters before anything is committed or sent. Throws
 * `invalid_request` with `ran: 'not_run'` if they are malformed.
 *
 * @example
 * const {id, waitMs} = parseParams<LookupParams>(paramSchemas.lookup, params);
 */
export function parseParams<T>(schema: z.ZodType, params: unknown): T {
  const parsed = schema.safeParse(params);
  if (parsed.success) return parsed.data as T;
  const [{path, message}] = parsed.error.issues;
  const text = `malformed message: ${path.join('.')}: ${message}`;
  throw new FailureError(failure('invalid_request', text, {ran: 'not_run'}));
}
