import type {PeerOptions} from './peer-api.js';
import {
  helloSchema,
  newNonce,
  computeProof,
  proveSchema,
  equalProofs,
  welcomeSchema,
  type Hello,
} from './hello.js';
import type {Link} from './link.js';
import {RefusedError} from './rpc-errors.js';

export const HELLO = 'peers.hello';
export const PROVE = 'peers.prove';

type Welcome = Hello & {proof: string};

/** Both sides of the handshake that opens every connection. */
export interface Handshake {
  /** Handles `peers.hello`; returns this host's identity and proof. */
  acceptHello(params: unknown, link: Link): Welcome;
  /** Handles `peers.prove`: verifies the proof and sets `link.peer`. */
  verifyProof(params: unknown, link: Link): void;
  /**
   * Sends `peers.hello` on a connection that this host dialled, verifies the
   * proof of the accepting host and sets `link.peer`.
   */
  sendHello(link: Link, expected: string, timeoutMs: number): Promise<void>;
  /** Sends `peers.prove` with this host's proof, after `sendHello`. */
  sendProof(link: Link, timeoutMs: number): Promise<void>;
}

/**
 * Creates the handshake of one host. Each method throws or rejects with
 * `RefusedError` if the peer is refused; the caller closes the link.
 *
 * @example
 * const handshake = createHandshake(options, Date.now());
 */
export function createHandshake(
  options: PeerOptions,
  incarnation: number,
): Handshake {
  const {firm, self, secret} = options;

  function newHello(): Hello {
    return {firm, host: self, incarnation, nonce: newNonce()};
  }

  function checkIdentity(hello: Hello): void {
    if (hello.firm !== firm) throw new RefusedError('host of another firm');
    if (hello.host === self)
      throw new RefusedError('host id is already in use');
  }

  return {
    acceptHello(params, link) {
      const hello = helloSchema.safeParse(params);
      if (!hello.success || link.hello.received !== undefined)
        throw new RefusedError('malformed hello');
      checkIdentity(hello.data);
      const own = newHello();
      link.hello = {own, received: hello.data};
      return {...own, proof: computeProof(secret, 'acceptor', hello.data, own)};
    },

    verifyProof(params, link) {
      const {own, received} = link.hello;
      const sent = proveSchema.safeParse(params);
      if (!sent.success || own === undefined || received === undefined)
        throw new RefusedError('malformed proof');
      const expected = computeProof(secret, 'dialler', received, own);
      if (!equalProofs(expected, sent.data.proof))
        throw new RefusedError('wrong proof');
      link.peer = {host: received.host, incarnation: received.incarnation};
    },

    async sendHello(link, expected, timeoutMs) {
      const own = newHello();
      const response = await link.call(HELLO, own, timeoutMs);
      if (response.error !== undefined)
        throw new RefusedError(response.error.message);
      const welcome = welcomeSchema.safeParse(response.result);
      if (!welcome.success) throw new RefusedError('malformed hello');
      checkIdentity(welcome.data);
      if (welcome.data.host !== expected)
        throw new RefusedError('a different host listens on this address');
      const proof = computeProof(secret, 'acceptor', own, welcome.data);
      if (!equalProofs(proof, welcome.data.proof))
        throw new RefusedError('wrong proof');
      link.hello = {own, received: welcome.data};
      link.peer = {
        host: welcome.data.host,
        incarnation: welcome.data.incarnation,
      };
    },

    async sendProof(link, timeoutMs) {
      const {own, received} = link.hello;
      if (own === undefined || received === undefined)
        throw new RefusedError('proof before the hello');
      const proof = computeProof(secret, 'dialler', own, received);
      const response = await link.call(PROVE, {proof}, timeoutMs);
      if (response.error !== undefined)
        throw new RefusedError(response.error.message);
    },
  };
}
