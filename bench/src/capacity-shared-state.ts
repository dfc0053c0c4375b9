import {createRandom, id, type HostId} from '@chivewick/common';
import {createLedger} from '@chivewick/ledger';
import {createLimits} from '@chivewick/limits';
import {createPeers, type Peers} from '@chivewick/peers';
import {cpuUs, heapOf} from './capacity-measure.js';
import {createMemoryStore} from './capacity-store.js';
import {grantOf, log, SELF, type Measurement} from './capacity-support.js';

/** Measures one permit of each workspace, on a single host. */
export async function measureLimits(size: number): Promise<Measurement> {
  const store = createMemoryStore();
  const peers = await peersOfSingleHost();
  const limits = createLimits({
    self: SELF,
    platform: store.api,
    peers,
    live: () => [SELF],
    log,
    random: createRandom(1),
  });
  const grants = Array.from({length: size}, (_, at) => grantOf(`ws-${at}`));
  const {bytes, held} = await heapOf(() =>
    Promise.all(
      grants.map(grant =>
        limits.acquire(grant, 10, new AbortController().signal),
      ),
    ),
  );
  for (const permit of held) if (permit.ok) permit.value.release();
  await limits.close();
  await peers.close();
  return {heapBytes: bytes, platformWrites: store.writes()};
}

/** Measures calls through group commit, on a single host. */
export async function measureLedger(size: number): Promise<Measurement> {
  const store = createMemoryStore();
  const peers = await peersOfSingleHost();
  const answer = {
    status: 201,
    contentType: 'application/json',
    body: JSON.stringify({slot: 'slot-1', church: 'San Saturnino'}),
  };
  const ledger = createLedger({
    self: SELF,
    platform: store.api,
    peers,
    services: {call: () => Promise.resolve({kind: 'answered', answer})},
    live: () => [SELF],
    endpoints: () => ['x'],
    log,
  });
  let us = 0;
  const {bytes} = await heapOf(async () => {
    us = await cpuUs(async () => {
      const calls = Array.from({length: size}, (_, at) =>
        ledger.call(bookingCall(at)),
      );
      await Promise.all(calls);
    });
  });
  const platformWrites = store.writes();
  await ledger.close();
  await peers.close();
  return {
    heapBytes: bytes,
    cpuUs: us,
    wireBytes: store.storedBytes(),
    platformWrites,
  };
}

function bookingCall(at: number) {
  return {
    workspace: grantOf('san-fermin').workspace,
    service: id<never>('bookings'),
    key: `key-${at}`,
    call: {method: 'POST', path: '/slots', body: `{"slot":${at}}`},
    deadlineMs: 30_000,
  };
}

/** Measures connections of one host to others in the same process. */
export async function measureConnections(size: number): Promise<Measurement> {
  const others = await Promise.all(
    Array.from({length: size}, (_, at) => peersOf(`peer-${at}`)),
  );
  const hub = await peersOf('hub');
  for (const other of others) other.handle('echo', params => params);
  for (const other of others) hub.setAddress(other.self, other.address);
  const call = () =>
    Promise.all(
      others.map(other =>
        hub.call(
          other.self,
          'echo',
          {text: 'x'.repeat(200)},
          {timeoutMs: 2_000},
        ),
      ),
    );
  const {bytes} = await heapOf(call);
  const before = hub.bytes().sent;
  const rounds = 20;
  const us = await cpuUs(async () => {
    for (let round = 0; round < rounds; round++) await call();
  });
  const wireBytes = (hub.bytes().sent - before) / rounds;
  await Promise.all([...others, hub].map(peers => peers.close()));
  return {heapBytes: bytes, cpuUs: us / rounds, wireBytes};
}

function peersOf(name: string): ReturnType<typeof createPeers> {
  return createPeers({
    firm: id('diocese'),
    self: id<HostId>(name),
    listen: '127.0.0.1:0',
    addresses: new Map(),
    secret: 'secret-of-the-capacity-bench',
  });
}

function peersOfSingleHost(): Promise<Peers> {
  return peersOf(SELF);
}
