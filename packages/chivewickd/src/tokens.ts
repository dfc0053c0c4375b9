import type {Admission} from '@chivewick/admission';
import type {HostId, HostSettings, Logger, Random} from '@chivewick/common';
import type {EngineApi} from '@chivewick/engines';
import type {HostList} from '@chivewick/host-list';
import type {Ledger} from '@chivewick/ledger';
import type {Limits} from '@chivewick/limits';
import type {Lists} from '@chivewick/lists';
import type {Membership} from '@chivewick/membership';
import type {Orders} from '@chivewick/orders';
import type {Peers} from '@chivewick/peers';
import type {Pipeline} from '@chivewick/pipeline';
import type {HttpObjectApi} from '@chivewick/platform';
import type {Quarantine} from '@chivewick/quarantine';
import type {RetryBudget} from '@chivewick/retries';
import type {RouteTable} from '@chivewick/routes';
import type {ServiceApi} from '@chivewick/services';
import type {WeightStore} from '@chivewick/weight-store';
import type {InjectionToken} from 'tsyringe';
import type {Lookups} from './parts/lookups.js';
import type {TrialTracker} from './parts/trial-tracker.js';
import type {Hops} from './observability/hops.js';
import type {Metrics} from './observability/metrics.js';

function token<T>(name: string): InjectionToken<T> {
  return Symbol(name);
}

/** Injection tokens of the daemon's parts. */
export const TOKENS = {
  self: token<HostId>('self'),
  settings: token<HostSettings>('settings'),
  log: token<Logger>('log'),
  random: token<Random>('random'),
  metrics: token<Metrics>('metrics'),
  hops: token<Hops>('hops'),
  objectApi: token<HttpObjectApi>('objectApi'),
  hostList: token<HostList>('hostList'),
  peers: token<Peers>('peers'),
  membership: token<Membership>('membership'),
  lists: token<Lists>('lists'),
  engines: token<EngineApi>('engines'),
  services: token<ServiceApi>('services'),
  routes: token<RouteTable>('routes'),
  pipeline: token<Pipeline>('pipeline'),
  limits: token<Limits>('limits'),
  admission: token<Admission>('admission'),
  ledger: token<Ledger>('ledger'),
  orders: token<Orders>('orders'),
  weightStore: token<WeightStore>('weightStore'),
  retryBudget: token<RetryBudget>('retryBudget'),
  lookups: token<Lookups>('lookups'),
  quarantine: token<Quarantine>('quarantine'),
  trialTracker: token<TrialTracker>('trialTracker'),
};
