import {
  fail,
  id,
  type Firm,
  type HostId,
  type Logger,
  type Result,
} from '@chivewick/common';
import {
  createRelayedFeed,
  type RelayClient,
  type RelayedFeed,
  type RelayRole,
  type RelayService,
} from '@chivewick/feed-relay';
import {createPeers} from '@chivewick/peers';
import type {ObjectFeed, StoredObject} from '@chivewick/platform';
import type {FleetHost} from './fleet.js';
import type {GatewayMetrics} from './metrics.js';

/**
 * Methods on the connections between hosts. Earlier builds, whose versions have no era,
 * have others, so that neither takes the versions of the other.
 */
const METHODS = {
  list: 'feed.listOfEra',
  changes: 'feed.changesOfEra',
  adopted: 'config.adopted',
} as const;
/** Time within which a configuration can be sent. */
const ADOPTED_TIMEOUT_MS = 1_000;
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
  /** Start of this host's last call to the store for a kind that failed, if any did. */
  readonly failedAtMs: RelayedFeed['failedAtMs'];
  /** The configuration that another host has in effect. */
  adoptedBy(host: HostId): Promise<Result<StoredObject>>;
  close(): Promise<void>;
}

/**
 * Starts the relay: this host reads the store's feed through the hosts that
 * `role` names, and answers others on its address. Rejects if the address
 * cannot be bound.
 *
 * @example
 * const relay = await startRelay({self, store, role, effectMs, hosts, adopted, metrics, log});
 */
export async function startRelay(options: {
  readonly self: FleetHost;
  readonly store: ObjectFeed;
  readonly role: () => ReaderRole;
  /** Shortest time within which a change must take effect, in milliseconds. */
  readonly effectMs: () => number;
  /** Hosts that may be asked for their configuration. */
  readonly hosts: () => readonly FleetHost[];
  /** The object of the configuration that this host has in effect. */
  readonly adopted: () => StoredObject | undefined;
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
  const {feed, service, failedAtMs} = createRelayedFeed({
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
  peers.handle(METHODS.adopted, () => {
    const object = options.adopted();
    return object === undefined
      ? Promise.reject(new Error('no configuration yet'))
      : Promise.resolve(object);
  });

  async function adoptedBy(host: HostId): Promise<Result<StoredObject>> {
    const known = options.hosts().find(({id}) => id === host);
    if (known === undefined) return fail('endpoint_failed', 'unknown host');
    peers.setAddress(host, known.address);
    const timeoutMs = ADOPTED_TIMEOUT_MS;
    const found = await peers.call<StoredObject>(
      host,
      METHODS.adopted,
      {},
      {timeoutMs},
    );
    return !found.ok || isObject(found.value)
      ? found
      : fail('endpoint_failed', 'invalid configuration');
  }

  return {feed, failedAtMs, adoptedBy, close: () => peers.close()};
}

function isObject(value: Partial<StoredObject> | null): boolean {
  return typeof value?.key === 'string' && Number.isSafeInteger(value.version);
}
