import {rendezvousOrder, type EndpointId, type Random} from '@chivewick/common';
import type {CacheEvent, EngineStatus, Route} from '@chivewick/engines';
import {createDirectory, type Observation} from '@chivewick/routes';
import {MODEL, VERSION} from './routes-engine.js';
import {domainName, LAYERS, type Job, type Machine} from './routes-model.js';

/** Endpoints that the route table of one host polls. */
const SUBSET_SIZE = 64;

/** How one host chooses routes. */
export interface Policy {
  report(
    status: EngineStatus,
    events: (after: number) => {events: CacheEvent[]; next: number},
  ): void;
  choose(job: Job): Route;
  observe(observation: Observation): void;
}

/** Options of a policy for one host. */
export interface PolicyOptions {
  /** Name of the choosing host. */
  readonly self: string;
  readonly machines: readonly Machine[];
  /** Failure domain of the choosing host. */
  readonly localDomain: number;
  readonly random: Random;
  readonly now: () => number;
}

type Pick = (holders: readonly Machine[]) => Machine;

/** The policy of `packages/routes`. */
function createChivewick({
  self,
  machines,
  localDomain,
  random,
  now,
}: PolicyOptions): Policy {
  const directory = createDirectory({random, now});
  directory.setLocalDomain(domainName(localDomain));
  const polled = new Set(
    rendezvousOrder(
      self,
      machines.map(({id}) => id),
    ).slice(0, SUBSET_SIZE),
  );
  for (const machine of machines.filter(({id}) => polled.has(id)))
    directory.add({
      id: machine.id,
      address: machine.id,
      failureDomain: domainName(machine.domain),
      listedLeaving: false,
    });
  return {
    report(status, events) {
      if (!polled.has(status.endpoint)) return;
      directory.report(status);
      const cursor = directory.get(status.endpoint)?.cache.cursor ?? 0;
      directory.cacheEvents(status.endpoint, events(cursor));
    },
    choose(job) {
      const res = directory.choose({
        model: MODEL,
        version: VERSION,
        layers: LAYERS,
        adapter: '',
        prompt: job.prompt,
        exclude: new Set(),
      });
      if (!res.ok) throw new Error(res.err.message);
      return res.value;
    },
    observe: observation => directory.observe(observation),
  };
}

/**
 * Picks an endpoint that holds the next layer and uses its range to the end.
 */
function createStepwise(
  {machines}: PolicyOptions,
  pick: Pick,
  report: (status: EngineStatus) => void = () => {},
): Policy {
  const holders = Array.from({length: LAYERS}, (_, layer) =>
    machines.filter(({from, to}) => from <= layer && to > layer),
  );
  return {
    report,
    observe() {},
    choose() {
      const route = [];
      for (let at = 0; at < LAYERS;) {
        const {id, to} = pick(holders[at]);
        route.push({endpoint: id, address: id, from: at, to});
        at = to;
      }
      return route;
    },
  };
}

function createRoundRobin(options: PolicyOptions): Policy {
  const nextIndexes = new Map<readonly Machine[], number>();
  return createStepwise(options, holders => {
    const index =
      nextIndexes.get(holders) ?? options.random.int(holders.length);
    nextIndexes.set(holders, index + 1);
    return holders[index % holders.length];
  });
}

function createLeastReported(options: PolicyOptions): Policy {
  const load = new Map<EndpointId, number>();
  const loadOf = ({id}: Machine): number => load.get(id) ?? 0;
  return createStepwise(
    options,
    holders => {
      const lowest = Math.min(...holders.map(loadOf));
      const candidates = holders.filter(holder => loadOf(holder) === lowest);
      return candidates[options.random.int(candidates.length)];
    },
    status =>
      load.set(status.endpoint, status.load.running + status.load.queued),
  );
}

/** The policy under test and its baselines, by name. */
export const POLICIES: Record<string, (options: PolicyOptions) => Policy> = {
  chivewick: createChivewick,
  random: options =>
    createStepwise(
      options,
      holders => holders[options.random.int(holders.length)],
    ),
  'round robin': createRoundRobin,
  'least reported load': createLeastReported,
};
