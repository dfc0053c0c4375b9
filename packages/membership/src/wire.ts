import {id, type HostId} from '@chivewick/common';
import {z} from 'zod';
import type {Update} from './member-table.js';

/** Names of the membership methods between hosts. */
export const PING = 'membership.ping';
export const PING_REQ = 'membership.pingReq';

const host = z
  .string()
  .min(1)
  .max(128)
  .transform(value => id<HostId>(value));
const update = z.tuple([
  host,
  z.enum(['alive', 'suspect', 'dead', 'left']),
  z.number().int().nonnegative(),
]);

const messageSchema = z.object({
  /** Incarnation of the sender. */
  i: z.number().int().nonnegative(),
  /** Updates about members. */
  u: z.array(update).max(64),
  /** Payload, such as list versions. */
  p: z.unknown().optional(),
});
const pingReqSchema = z.object({target: host, message: messageSchema});

/** A ping or its response. */
export interface Message {
  readonly i: number;
  readonly u: readonly Update[];
  readonly p?: unknown;
}

/** Request to probe `target` on behalf of the sender. */
export interface PingReq {
  readonly target: HostId;
  readonly message: Message;
}

/** Response to `PingReq`: whether the target answered the helper's ping. */
export interface PingReqResponse {
  readonly reached: boolean;
  readonly message: Message;
}

/**
 * Validates a received message; undefined when it is malformed.
 *
 * @example
 * const message = readMessage(params);
 */
export function readMessage(value: unknown): Message | undefined {
  return messageSchema.safeParse(value).data;
}

/**
 * Validates a received request for an indirect probe; undefined when it is
 * malformed.
 *
 * @example
 * const request = readPingReq(params);
 */
export function readPingReq(value: unknown): PingReq | undefined {
  return pingReqSchema.safeParse(value).data;
}
