import {isIpAddress} from '@chivewick/common';

/** Ends each line of the exchange that opens a tunnel. */
const LINE_END = '\n';
/**
 * Names the form of what follows: responses in frames. A host of another version does not
 * know it and opens no tunnel.
 */
const VERB = 'connect-framed';
/** `connect-framed 255.255.255.255:65535` is the longest line. */
const MAX_LINE_BYTES = 64;

/** What the other host says after it has tried to connect. */
export const REPLIES = {
  opened: 'opened',
  /** No process listens at the endpoint's address. */
  refused: 'refused',
  /** The endpoint does not accept a connection in time. */
  silent: 'silent',
  /** The other host cannot tell: it is cut off or stopping, or has too many tunnels. */
  unknown: 'unknown',
} as const;

/** Formats the first line of a tunnel, which names the endpoint. */
export function formatRequest(address: string): string {
  return `${VERB} ${address}${LINE_END}`;
}

/** Formats the reply of the host at the other end. */
export function formatReply(reply: keyof typeof REPLIES): string {
  return `${REPLIES[reply]}${LINE_END}`;
}

/** Returns the address in a request line; undefined if it is not one. */
export function parseRequest(line: string): string | undefined {
  const [verb, address = '', ...others] = line.split(' ');
  if (verb !== VERB || others.length > 0) return undefined;
  return isIpAddress(address) ? address : undefined;
}

/**
 * Takes the first line off the bytes that have arrived.
 *
 * @returns `line` is undefined while the line is incomplete; `isTooLong` is set if
 *     it cannot be a line of this protocol.
 */
export function splitLine(bytes: Buffer): {
  line?: string;
  rest: Buffer;
  isTooLong: boolean;
} {
  const end = bytes.indexOf(LINE_END);
  if (end < 0) return {rest: bytes, isTooLong: bytes.length > MAX_LINE_BYTES};
  const isTooLong = end > MAX_LINE_BYTES;
  const line = bytes.toString('latin1', 0, end);
  return {line, rest: bytes.subarray(end + 1), isTooLong};
}
