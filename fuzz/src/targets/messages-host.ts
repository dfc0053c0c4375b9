import {
  createRandom,
  createSilentLogger,
  fail,
  id,
  type FailureDomain,
  type Firm,
  type HostId,
} from '@chivewick/common';
import {createLedger} from '@chivewick/ledger';
import {createLimits} from '@chivewick/limits';
import {createLists} from '@chivewick/lists';
import {createMembership} from '@chivewick/membership';
import type {Peers} from '@chivewick/peers';
import {createQuarantine} from '@chivewick/quarantine';
import {createFakeStore} from '../core/fake-store.js';
import {ENTITLEMENTS, PLANS} from '../core/list-examples.js';

type Handler = (params: unknown, from: HostId) => unknown;

/** The components of a host that receive messages, without a network. */
export interface MessageHost {
  /** Calls the handler of a method like a message from a peer host does. */
  receive(method: string, params: unknown): Promise<unknown>;
  /** The observable state of all components, as JSON. */
  state(): string;
  /** Requests that reached a service. */
  serviceCalls(): number;
  close(): Promise<void>;
}

const SELF = id<HostId>('nav-a-1');
const PEER = id<HostId>('nav-b-1');

/**
 * Starts the components on a store that holds both lists.
 *
 * @example
 * const host = await createMessageHost();
 * await host.receive('ledger.lookup', {id: 7});
 */
export async function createMessageHost(): Promise<MessageHost> {
  const handlers = new Map<string, Handler>();
  const store = createFakeStore();
  await store.put('lists/plans', PLANS, 'absent');
  await store.put('lists/entitlements', ENTITLEMENTS, 'absent');
  const peers = createUnreachablePeers(handlers);
  const log = createSilentLogger();
  const random = createRandom(1);
  const live = () => [SELF];
  let serviceCalls = 0;
  const membership = createMembership({
    self: SELF,
    peers,
    log,
    random,
    incarnation: 1,
  });
  const lists = createLists({
    self: SELF,
    firm: id<Firm>('diocese'),
    failureDomain: id<FailureDomain>('nav-a'),
    platform: store,
    peers,
    membership,
    log,
    random,
  });
  const limits = createLimits({
    self: SELF,
    platform: store,
    peers,
    live,
    log,
    random,
  });
  const ledger = createLedger({
    self: SELF,
    platform: store,
    peers,
    live,
    log,
    endpoints: () => ['127.0.0.1:1'],
    services: {
      async call() {
        serviceCalls += 1;
        const answer = {status: 200, contentType: 'text/plain', body: ''};
        return {kind: 'answered', answer};
      },
    },
  });
  const secret = 'a shared secret of the firm';
  const quarantine = createQuarantine({
    platform: store,
    peers,
    secret,
    log,
    live,
  });
  await lists.start();
  return {
    serviceCalls: () => serviceCalls,
    async receive(method, params) {
      const handler = handlers.get(method);
      if (handler === undefined) throw new Error(`no handler of ${method}`);
      return handler(params, PEER);
    },
    state: () =>
      JSON.stringify({
        lists: [lists.status().versions, lists.status().digest],
        members: [membership.live(), membership.state(id('nav-c-1'))],
        limits: limits.status().workspaces,
        ledger: ledger.status(),
        bans: quarantine.bans(),
        objects: [...store.objects],
        serviceCalls,
      }),
    async close() {
      await Promise.all([
        lists.close(),
        limits.close(),
        ledger.close(),
        quarantine.close(),
        membership.close(),
      ]);
    },
  };
}

/** Peers that register handlers; every outgoing call fails. */
function createUnreachablePeers(handlers: Map<string, Handler>): Peers {
  return {
    self: SELF,
    handle: (method, handler) => void handlers.set(method, handler as Handler),
    call: async () => fail('endpoint_failed', 'not reached', {ran: 'not_run'}),
    knownHosts: () => [],
    setAddress: () => {},
    bytes: () => ({sent: 0, received: 0}),
    close: async () => {},
  };
}
