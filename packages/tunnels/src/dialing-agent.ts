import {Agent} from 'node:http';
import type {NetConnectOpts} from 'node:net';
import type {Dialer} from './dialer.js';

class DialingAgent extends Agent {
  constructor(private readonly dialer: Dialer) {
    super({keepAlive: false});
  }

  override createConnection(options: NetConnectOpts) {
    const {host, port} = options as {host: string; port: number | string};
    return this.dialer.dial(`${host}:${port}`);
  }
}

/**
 * Creates an agent for HTTP requests to endpoints. Each request has its own connection.
 *
 * @example
 * request({host, port, agent: createDialingAgent(dialer)});
 */
export function createDialingAgent(dialer: Dialer): Agent {
  return new DialingAgent(dialer);
}
