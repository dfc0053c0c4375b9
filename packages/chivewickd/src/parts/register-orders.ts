import {id, type EndpointId} from '@chivewick/common';
import type {HostListEntry} from '@chivewick/host-list';
import type {ListsSnapshot} from '@chivewick/lists';
import {
  createOrders,
  type GrantedModels,
  type OrdersEndpoint,
} from '@chivewick/orders';
import {createWeightStore} from '@chivewick/weight-store';
import {instanceCachingFactory, type DependencyContainer} from 'tsyringe';
import {TOKENS} from '../tokens.js';

/** One more than the renewals that may fail in a row before a lease expires. */
const RENEWALS_PER_LEASE = 4;

/**
 * Registers the orders to engines and their weight store client. Both are
 * created on first use; `startOrders` does this if the settings enable orders.
 */
export function registerOrders(c: DependencyContainer): void {
  c.register(TOKENS.weightStore, {
    useFactory: instanceCachingFactory(() => {
      const {weightStore} = c.resolve(TOKENS.settings).orders;
      return createWeightStore({address: weightStore!});
    }),
  });
  c.register(TOKENS.orders, {
    useFactory: instanceCachingFactory(createConfiguredOrders),
  });
}

function createConfiguredOrders(c: DependencyContainer) {
  const {weightStore, leaseMs, loadsPerSecond} = c.resolve(
    TOKENS.settings,
  ).orders;
  const hostList = c.resolve(TOKENS.hostList);
  const lists = c.resolve(TOKENS.lists);
  const endpoints = memoizeLast(endpointsOf);
  const granted = memoizeLast(grantedModels);
  return createOrders({
    self: c.resolve(TOKENS.self),
    platform: c.resolve(TOKENS.objectApi),
    engines: c.resolve(TOKENS.engines),
    ...(weightStore && {weights: c.resolve(TOKENS.weightStore)}),
    endpoints: () => endpoints(hostList.entries()),
    lists: () => {
      const snapshot = lists.confirmed() ? lists.snapshot() : undefined;
      return snapshot && granted(snapshot);
    },
    live: () => c.resolve(TOKENS.membership).live(),
    random: c.resolve(TOKENS.random),
    log: c.resolve(TOKENS.log).child('orders'),
    timing: {
      leaseMs,
      renewMs: leaseMs / RENEWALS_PER_LEASE,
      leaseMarginMs: leaseMs / 10,
      loadsPerSecond,
    },
  });
}

/**
 * Starts the orders when settings enable them.
 *
 * @example
 * startOrders(c);
 */
export function startOrders(c: DependencyContainer): void {
  if (c.resolve(TOKENS.settings).orders.enabled) c.resolve(TOKENS.orders);
}

/**
 * Stops the orders and releases the lease, so that another host takes over
 * without waiting for it to expire.
 *
 * @example
 * await stopOrders(c);
 */
export async function stopOrders(c: DependencyContainer): Promise<void> {
  const {enabled, weightStore} = c.resolve(TOKENS.settings).orders;
  if (!enabled) return;
  await c.resolve(TOKENS.orders).close();
  await c.resolve(TOKENS.orders).release();
  if (weightStore !== undefined) await c.resolve(TOKENS.weightStore).close();
}

function endpointsOf(entries: readonly HostListEntry[]): OrdersEndpoint[] {
  return entries
    .filter(({kind}) => kind === 'endpoint')
    .map(({id: name, address, failureDomain, state}) => ({
      id: id<EndpointId>(name),
      address,
      failureDomain,
      state,
    }));
}

/** Returns the models named by a plan; other models are not loaded. */
function grantedModels(snapshot: ListsSnapshot): GrantedModels {
  const named = new Set(
    Object.values(snapshot.entitlements.plans).flatMap(({models}) => models),
  );
  return {
    version: snapshot.versions.entitlements,
    models: [...snapshot.models.values()].filter(({model}) => named.has(model)),
  };
}

/** Caches the last result; recomputes when the argument is another object. */
function memoizeLast<A, B>(compute: (from: A) => B): (from: A) => B {
  let last: {from: A; value: B} | undefined;
  return from => {
    if (last?.from !== from) last = {from, value: compute(from)};
    return last.value;
  };
}
