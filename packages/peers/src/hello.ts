import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';

const identity = {
  firm: z.string().min(1).max(128),
  host: z.string().min(1).max(128),
  incarnation: z.number().int().nonnegative(),
  nonce: z.string().regex(/^[0-9a-f]{32}$/),
};
const proof = z.string().regex(/^[0-9a-f]{64}$/);

/** Parameters of `peers.hello`, the first message of the host that dials. */
export const helloSchema = z.object(identity);
/** Result of `peers.hello`: the identity of the host that accepted. */
export const welcomeSchema = z.object({...identity, proof});
/** Parameters of `peers.prove`, the second message of the host that dials. */
export const proveSchema = z.object({proof});

export type Hello = z.infer<typeof helloSchema>;

/** Side of the connection that makes a proof. */
export type Side = 'dialler' | 'acceptor';

/**
 * Generates the nonce of one hello: 16 bytes in hexadecimal.
 *
 * @example
 * const hello = {firm, host, incarnation, nonce: newNonce()};
 */
export function newNonce(): string {
  return randomBytes(16).toString('hex');
}

/**
 * Computes the proof that a side knows the secret, for one connection:
 * HMAC-SHA-256 over the side and both identities with both nonces. A recorded
 * proof is therefore invalid on another connection, for another host, and in the
 * other direction.
 *
 * @example
 * const proof = computeProof(secret, 'acceptor', dialler, acceptor);
 */
export function computeProof(
  secret: string,
  side: Side,
  dialler: Hello,
  acceptor: Hello,
): string {
  const fields = [dialler, acceptor].map(hello => [
    hello.firm,
    hello.host,
    hello.incarnation,
    hello.nonce,
  ]);
  return createHmac('sha256', secret)
    .update(JSON.stringify([side, ...fields]))
    .digest('hex');
}

/**
 * Compares two proofs in constant time.
 *
 * @example
 * if (!equalProofs(expected, received)) close('wrong proof');
 */
export function equalProofs(expected: string, received: string): boolean {
  const a = Buffer.from(expected, 'hex');
  const b = Buffer.from(received, 'hex');
  return a.length === b.length && timingSafeEqual(a, b);
}
