import {createHmac, randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

/** A raw connection to the peer port of a host, without a peers client. */
export interface PeerWire {
  /** Sends bytes (latin-1). */
  send(bytes: string): void;
  /** Complete lines received so far, as latin-1. */
  readonly lines: string[];
  readonly socket: Socket;
}

interface Identity {
  readonly firm: string;
  readonly host: string;
  readonly incarnation: number;
  readonly nonce: string;
}

/**
 * Opens a connection and sends no hello.
 *
 * @example
 * const wire = await openWire('127.0.0.1:7400');
 */
export async function openWire(address: string): Promise<PeerWire> {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port)});
  socket.on('error', () => {});
  const lines: string[] = [];
  let rest = '';
  socket.on('data', (chunk: Buffer) => {
    const parts = (rest + chunk.toString('latin1')).split('\n');
    rest = parts.pop() ?? '';
    lines.push(...parts);
  });
  await once(socket, 'connect');
  const send = (bytes: string) =>
    void socket.write(Buffer.from(bytes, 'latin1'));
  return {socket, lines, send};
}

/**
 * Sends the hello and proves the secret, as section 4.5 of the design page and
 * the peers package describe it.
 *
 * @example
 * await proveIdentity(wire, {firm, host, incarnation: 1, secret});
 */
export async function proveIdentity(
  wire: PeerWire,
  options: Omit<Identity, 'nonce'> & {readonly secret: string},
): Promise<void> {
  const {secret, ...rest} = options;
  const own: Identity = {...rest, nonce: randomBytes(16).toString('hex')};
  const welcome = await callMethod<Identity>(wire, 'peers.hello', own);
  const fields = [own, welcome].map(side => [
    side.firm,
    side.host,
    side.incarnation,
    side.nonce,
  ]);
  const proof = createHmac('sha256', secret)
    .update(JSON.stringify(['dialler', ...fields]))
    .digest('hex');
  await callMethod(wire, 'peers.prove', {proof});
  wire.lines.length = 0;
}

async function callMethod<R>(
  wire: PeerWire,
  method: string,
  params: unknown,
): Promise<R> {
  const at = wire.lines.length;
  const request = {jsonrpc: '2.0', id: method, method, params};
  wire.send(`${JSON.stringify(request)}\n`);
  while (wire.lines.length === at) await once(wire.socket, 'data');
  const response = JSON.parse(wire.lines[at]) as {result?: R; error?: unknown};
  if (response.result === undefined)
    throw new Error(`${method} was refused: ${wire.lines[at]}`);
  return response.result;
}
