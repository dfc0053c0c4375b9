import {Agent} from 'node:http';
import type {NetConnectOpts} from 'node:net';
import type {Duplex} from 'node:stream';
import type {Dialer} from './dialer.js';
import {createResetSafeStream} from './reset-safe-stream.js';
import {openSocket} from './sockets.js';

class DialingAgent extends Agent {
  constructor(
    private readonly dial: (address: string) => Duplex,
    maxSockets = Infinity,
  ) {
    super({keepAlive: false, maxSockets});
  }

  override createConnection(options: NetConnectOpts) {
    const {host, port} = options as {host: string; port: number | string};
    return this.dial(`${host}:${port}`);
  }
}

/**
 * Creates an agent for HTTP requests to endpoints. Each request has its own connection.
 *
 * @example
 * request({host, port, agent: createDialingAgent(dialer)});
 */
export function createDialingAgent(dialer: Dialer): Agent {
  return new DialingAgent(address => dialer.dial(address));
}

/**
 * Creates an agent that connects to endpoints directly and never through another host. Each
 * request has its own connection.
 *
 * @param options.connectMs time in which an endpoint must accept a connection.
 * @param options.maxSockets connections to one endpoint; further requests wait.
 * @example
 * request({host, port, agent: createDirectAgent({connectMs: 2_000, maxSockets: 64})});
 */
export function createDirectAgent(options: {
  readonly connectMs: number;
  readonly maxSockets: number;
}): Agent {
  const open = async (address: string) => ({
    socket: await openSocket(address, options.connectMs),
  });
  return new DialingAgent(
    address => createResetSafeStream(open(address)),
    options.maxSockets,
  );
}
