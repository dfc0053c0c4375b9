import {failure, FailureError} from '@chivewick/common';
import {z} from 'zod';

// Loose objects, so that fields added by a newer release are accepted.
const crash = z.looseObject({
  endpoint: z.string(),
  host: z.string(),
  at: z.number(),
  trial: z.boolean(),
  progressed: z.boolean().optional(),
});

/** Schemas of the parameters of the quarantine's peer methods. */
export const paramSchemas = {
  suspect: z.looseObject({
    crashes: z.array(crash.extend({fingerprint: z.string()})).default([]),
    bans: z
      .array(
        z.looseObject({
          fingerprint: z.string(),
          expiresAt: z.number(),
          evidence: z.array(crash),
        }),
      )
      .default([]),
  }),
  trial: z.looseObject({
    fingerprint: z.string(),
    endpoints: z.array(z.string()).optional(),
  }),
  done: z.string(),
};

/**
 * Validates received parameters before they are applied. Throws
 * `invalid_request` if they are malformed.
 *
 * @example
 * const trial = parseParams<TrialRequest>(paramSchemas.trial, params);
 */
export function parseParams<T>(schema: z.ZodType, params: unknown): T {
  const parsed = schema.safeParse(params);
  if (parsed.success) return parsed.data as T;
  const [{path, message}] = parsed.error.issues;
  const text = `malformed message: ${path.join('.')}: ${message}`;
  throw new FailureError(failure('invalid_request', text));
}
