import {id, type Firm, type Logger} from '@chivewick/common';
import {
  createRelayedFeed,
  type RelayClient,
  type RelayRole,
  type RelayService,
} from '@chivewick/feed-relay';
import {createPeers} from '@chivewick/peers';
import type {ObjectFeed} from '@chivewick/platform';
import type {FleetHost} from './fleet.js';
import type {GatewayMetrics} from './metrics.js';

/** Methods of `RelayService` on the connections between hosts. */
const METHODS = {list: 'feed.list', changes: 'feed.changes'} as const;
/**
 * The network of a deployment is closed to other deployments, so that the hosts
 * share no secret beyond the settings that they are started with.
 */
const FIRM = id<Firm>('deployment');

/** Where a host gets changes from, with the addresses of the hosts to ask. */
export type ReaderRole = Omit<RelayRole, 'sources'> & {
  readonly sources: readonly FleetHost[];
};

/** A feed that is read through another host of the failure domain. */
export interface Relay {
  readonly feed: ObjectFeed;
  close(): Promise<void>;
}

/**
 * Starts the relay: this host reads the store's feed through the hosts that
 * `role` names, and answers others on its address. Rejects if the address
 * cannot be bound.
 *
 * @example
 * const relay = await startRelay({self, store, role, effectMs, metrics, log});
 */
export async function startRelay(options: {
  readonly self: FleetHost;
  readonly store: ObjectFeed;
  readonly role: () => ReaderRole;
  /** Shortest time within which a change must take effect, in milliseconds. */
  readonly effectMs: () => number;
  readonly metrics: Pick<GatewayMetrics, 'outdated'>;
  readonly log: Logger;
}): Promise<Relay> {
  const {self, store, log} = options;
  const peers = await createPeers({
    firm: FIRM,
    self: self.id,
    listen: self.address,
    addresses: new Map(),
    secret: '',
    log,
  });
  const client: RelayClient = {
    list: (host, params, timeoutMs) =>
      peers.call(host, METHODS.list, params, {timeoutMs}),
    changes: (host, params, timeoutMs) =>
      peers.call(host, METHODS.changes, params, {timeoutMs}),
  };
  const {feed, service} = createRelayedFeed({
    store,
    client,
    effectMs: options.effectMs,
    onOutdated(answer) {
      log.event('feedOutdated', {...answer});
      options.metrics.outdated.inc({reason: answer.reason});
    },
    role() {
      const {sources, ...role} = options.role();
      for (const source of sources) peers.setAddress(source.id, source.address);
      return {...role, sources: sources.map(source => source.id)};
    },
  });
  peers.handle<Parameters<RelayService['list']>[0], unknown>(
    METHODS.list,
    params => service.list(params),
  );
  peers.handle<Parameters<RelayService['changes']>[0], unknown>(
    METHODS.changes,
    params => service.changes(params),
  );
  return {feed, close: () => peers.close()};
}
