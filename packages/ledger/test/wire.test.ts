import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  createSilentLogger,
  id,
  type Firm,
  type HostId,
  type ServiceName,
  type WorkspaceId,
} from '@chivewick/common';
import {createPeers, type ListeningPeers} from '@chivewick/peers';
import {createObjectApi} from '@chivewick/platform';
import {createServiceApi} from '@chivewick/services';
import {
  createObjectApiStandIn,
  createServiceStandIn,
  type ObjectApiStandIn,
  type ServiceStandIn,
} from '@chivewick/stand-ins';
import {createLedger, type Ledger} from '../src/index.js';

const HOSTS = ['host-0', 'host-1', 'host-2'].map(name => id<HostId>(name));
const WORKSPACE = id<WorkspaceId>('san-fermin');

describe('ledger over real connections', () => {
  let platform: ObjectApiStandIn;
  let service: ServiceStandIn;
  let ledgers: Ledger[];
  let closers: (() => Promise<void>)[];

  beforeEach(async () => {
    platform = await createObjectApiStandIn({});
    service = await createServiceStandIn();
    const all = await Promise.all(HOSTS.map(listen));
    for (const peers of all)
      for (const other of all) peers.setAddress(other.self, other.address);
    closers = [];
    ledgers = all.map(start);
  });
  afterEach(async () => {
    await Promise.all(ledgers.map(ledger => ledger.close()));
    await Promise.all(closers.map(close => close()));
    await service.close();
    await platform.close();
  });

  function listen(self: HostId): Promise<ListeningPeers> {
    return createPeers({
      firm: id<Firm>('diocese'),
      self,
      listen: '127.0.0.1:0',
      addresses: new Map(),
      secret: 'secret',
    });
  }

  function start(peers: ListeningPeers): Ledger {
    const api = createObjectApi({address: platform.address});
    const services = createServiceApi();
    closers.push(
      () => peers.close(),
      () => api.close(),
      () => services.close(),
    );
    return createLedger({
      self: peers.self,
      platform: api,
      peers,
      services,
      live: () => HOSTS,
      endpoints: () => [service.address],
      log: createSilentLogger(),
      settings: {writesPerSecond: 400},
    });
  }

  const call = (host: number, key: string) =>
    ledgers[host].call({
      workspace: WORKSPACE,
      service: id<ServiceName>('bookings'),
      key,
      call: {method: 'POST', path: '/slots', body: `{"slot":"${key}"}`},
      deadlineMs: 10_000,
    });

  // Guards against fields that are lost in JSON or in the clients' formats.
  it('runs each key once from all hosts, with lost responses', async () => {
    platform.faults.loseAnswers = 5;
    platform.faults.loseWrites = 5;
    const keys = Array.from({length: 20}, (_, n) => `k${n}`);
    const outcomes = await Promise.all(
      keys.flatMap(key => HOSTS.map((_, host) => call(host, key))),
    );
    assert.ok(outcomes.every(outcome => outcome.kind === 'answered'));
    for (const key of keys) assert.equal(service.runs.runsOfKey(key), 1);
  });

  it('replays from the next owner after a planned stop', async () => {
    const first = await call(0, 'k');
    for (const ledger of ledgers.slice(1)) await ledger.handover();
    const found = await ledgers[0].lookup(WORKSPACE, 'k');
    assert.deepEqual(found, {...first, replayed: true});
    assert.equal((await call(1, 'k')).kind, 'answered');
    assert.equal((await call(2, 'new')).kind, 'answered');
    assert.equal(service.runs.runsOfKey('k'), 1);
  });

  it('distinguishes a crash after the effect from a refused connection', async () => {
    service.setFaults({crashAfterEffect: 1});
    const crashed = await call(0, 'crashed');
    assert.ok(crashed.kind === 'failed' && crashed.err.ran === 'unknown');
    service.setFaults({refuseMs: 60_000});
    const refused = await call(1, 'refused');
    assert.ok(refused.kind === 'failed' && refused.err.ran === 'not_run');
    assert.equal(service.runs.runsOfKey('crashed'), 1);
    assert.equal(service.runs.runsOfKey('refused'), 0);
  });
});
