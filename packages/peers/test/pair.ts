import {after} from 'node:test';
import {id, type Firm, type HostId} from '@chivewick/common';
import {
  createPeers,
  type ListeningPeers,
  type PeerOptions,
} from '../src/index.js';

export const A = id<HostId>('nav-a-1');
export const B = id<HostId>('nav-b-1');
export const TIMEOUT = {timeoutMs: 3_000};
/** Fails a test whose connection is wrongly kept open, instead of a hang. */
export const LIMIT = {timeout: 10_000};
const open: ListeningPeers[] = [];

export async function start(
  self: HostId,
  options: Partial<PeerOptions> = {},
): Promise<ListeningPeers> {
  const peers = await createPeers({
    firm: id<Firm>('diocese'),
    self,
    listen: '127.0.0.1:0',
    addresses: new Map(),
    secret: 'a shared secret of the firm',
    ...options,
  });
  open.push(peers);
  return peers;
}

export async function startPair(
  optionsOfB: Partial<PeerOptions> = {},
): Promise<[ListeningPeers, ListeningPeers]> {
  const a = await start(A);
  const b = await start(B, optionsOfB);
  a.setAddress(B, b.address);
  b.setAddress(A, a.address);
  for (const peers of [a, b])
    peers.handle('test.echo', (params, from) => ({params, from}));
  return [a, b];
}

after(() => Promise.all(open.map(peers => peers.close())));
