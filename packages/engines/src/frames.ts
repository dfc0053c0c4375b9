import type {EndpointId} from '@chivewick/common';
import {z} from 'zod';
import type {EngineFaultKind, EngineFrame} from './engine-api.js';
import {parseJsonLines} from './ndjson.js';

const count = z.int().nonnegative();
const epoch = count;

/** Fault kinds that an engine reports in a frame or an error response. */
export const FRAME_FAULTS = [
  'next_stage_failed',
  'stale_epoch',
  'leaving',
  'not_loaded',
  'overloaded',
  'forbidden',
  'not_found',
] as const satisfies readonly EngineFaultKind[];

const frameSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('token'),
    epoch,
    position: count,
    token: count,
    text: z.string(),
  }),
  z.object({
    type: z.literal('done'),
    epoch,
    reason: z.enum(['stop', 'length']),
    usage: z.object({promptTokens: count, generatedTokens: count}),
  }),
  z.object({
    type: z.literal('fault'),
    epoch,
    endpoint: z
      .string()
      .transform(value => value as EndpointId)
      .optional(),
    // A newer engine may send kinds that this version does not know.
    kind: z.enum(FRAME_FAULTS).catch('next_stage_failed'),
  }),
]);

/**
 * Yields the frames of a byte stream. Throws `TypeError` on a line that is not a
 * valid frame, so that a token without a position or a `done` without its reason
 * never reaches the reader. See `parseJsonLines` for the line format and its errors.
 *
 * @example
 * for await (const frame of parseFrames(res.body)) handle(frame);
 */
export async function* parseFrames(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<EngineFrame> {
  for await (const value of parseJsonLines<unknown>(chunks)) {
    const frame = frameSchema.safeParse(value);
    if (!frame.success) throw new TypeError('malformed frame');
    yield frame.data;
  }
}
