import {createRandom, type EndpointId} from '@chivewick/common';
import type {Route} from '@chivewick/engines';
import {build, type Histogram} from 'hdr-histogram-js';
import {createEngine, type Engine} from './routes-engine.js';
import {createEventQueue, type EventQueue} from './routes-event-queue.js';
import {POLICIES, type Policy} from './routes-policies.js';
import {
  boundPerSecond,
  createJobs,
  createMachines,
  linkMs,
  MEAN_TOKENS,
  sessionsOf,
  type Job,
  type RangeLayout,
} from './routes-model.js';

const HOSTS = 9;
const POLL_MS = 1000;
/** Time over which the starts of closed-loop callers are spread. */
const RAMP_MS = 3000;
const WARM_UP_MS = 8000;
/**
 * A response that takes longer does not count as goodput. The slowest chain
 * needs 96 ms per token at the knee; four times that allows for a full queue.
 */
const DEADLINE_MS = 2000;
const DEADLINE_PER_TOKEN_MS = 4 * 96;

/**
 * Open: requests arrive at random at the rate `offered`, a fraction of the
 * bound. Closed: `kvFraction` of the requests that all KV caches can hold are
 * in progress, divided equally among the hosts, as admission would keep them.
 */
export type Load =
  | {readonly kind: 'open'; readonly offered: number}
  | {readonly kind: 'closed'; readonly kvFraction: number};

/** One simulated run. */
export interface RunOptions {
  readonly policy: string;
  readonly seed: number;
  readonly replicas: number;
  readonly layout: RangeLayout;
  /** Interval at which an engine updates its reported load. */
  readonly lagMs: number;
  readonly load: Load;
  readonly measuredMs: number;
}

/** Results of a run. */
export interface RunResult {
  /**
   * Tokens per second of responses within their deadline, relative to the
   * bound.
   */
  readonly goodput: number;
  readonly boundPerSecond: number;
  readonly firstTokenP99Ms: number;
  readonly perTokenP99Ms: number;
}

interface Simulation {
  readonly queue: EventQueue;
  readonly engines: ReadonlyMap<EndpointId, Engine>;
  readonly firstToken: Histogram;
  readonly perToken: Histogram;
  /** Tokens of responses that ended within their deadline. */
  tokens: number;
}

interface Host {
  readonly domain: number;
  readonly policy: Policy;
}

/** Runs one policy on all hosts over simulated engines. */
export function runRoutes(options: RunOptions): RunResult {
  const {seed, replicas, layout, lagMs, load, measuredMs} = options;
  const random = createRandom(seed);
  const queue = createEventQueue();
  const machines = createMachines(replicas, layout);
  const engines = new Map(machines.map(m => [m.id, createEngine(m, queue)]));
  const bound = boundPerSecond(machines);
  const sim: Simulation = {
    queue,
    engines,
    firstToken: build(),
    perToken: build(),
    tokens: 0,
  };
  for (const engine of engines.values())
    every(queue, lagMs, random.next() * lagMs, () => engine.snapshot());
  const hosts = Array.from({length: HOSTS}, (_, index): Host => {
    const localDomain = index % 3;
    const now = (): number => queue.now();
    const host = {
      domain: localDomain,
      policy: POLICIES[options.policy]({
        self: `host-${index}`,
        machines,
        localDomain,
        random,
        now,
      }),
    };
    for (const engine of engines.values())
      every(queue, POLL_MS, random.next() * POLL_MS, () =>
        host.policy.report(engine.status(), after => engine.events(after)),
      );
    for (const engine of engines.values())
      host.policy.report(engine.status(), after => engine.events(after));
    return host;
  });
  const nextJob = createJobs(random);
  if (load.kind === 'open') {
    const meanGapMs = 1000 / (load.offered * bound);
    const arrive = (): void => {
      start(sim, hosts[random.int(HOSTS)], nextJob(), () => {});
      queue.after(-meanGapMs * Math.log(1 - random.next()), arrive);
    };
    arrive();
  } else {
    const repeat = (host: Host): void =>
      start(sim, host, nextJob(), () => repeat(host));
    const callers = (load.kvFraction * sessionsOf(machines)) / HOSTS;
    for (const host of hosts)
      for (let caller = 0; caller < callers; caller++)
        queue.after(random.next() * RAMP_MS, () => repeat(host));
  }
  queue.runUntil(WARM_UP_MS + measuredMs);
  return {
    goodput: sim.tokens / (measuredMs / 1000) / (bound * MEAN_TOKENS),
    boundPerSecond: bound,
    firstTokenP99Ms: sim.firstToken.getValueAtPercentile(99),
    perTokenP99Ms: sim.perToken.getValueAtPercentile(99) / 1000,
  };
}

function every(
  queue: EventQueue,
  intervalMs: number,
  firstMs: number,
  act: () => void,
): void {
  const repeat = (): void => {
    act();
    queue.after(intervalMs, repeat);
  };
  queue.after(firstMs, repeat);
}

function start(sim: Simulation, host: Host, job: Job, ended: () => void): void {
  const {queue} = sim;
  const route = host.policy.choose(job);
  const {prompt} = job;
  const kvTokens = prompt.length + job.tokens;
  for (const {endpoint} of route)
    host.policy.observe({
      kind: 'started',
      endpoint,
      prompt,
      tokens: kvTokens,
    });
  const startMs = queue.now();
  let firstMs = 0;
  const domains = route.map(stage => engineOf(sim, stage).machine.domain);
  const returnMs = domains
    .slice(1)
    .reduce((sum, domain, index) => sum + linkMs(domains[index], domain), 0);
  const toHostMs = linkMs(host.domain, domains[0]);

  function run(token: number, stage: number): void {
    const {from, to} = route[stage];
    const engine = engineOf(sim, route[stage]);
    const add = (): void =>
      engine.add({
        layers: to - from,
        prompt: token === 0 ? prompt : undefined,
        done: () => forward(token, stage),
      });
    if (token === 0) engine.reserveKv(kvTokens, add);
    else add();
  }

  function forward(token: number, stage: number): void {
    if (stage + 1 < route.length) {
      const delayMs = linkMs(domains[stage], domains[stage + 1]);
      queue.after(delayMs, () => run(token, stage + 1));
      return;
    }
    if (token === 0) firstMs = queue.now() + returnMs + toHostMs;
    if (token + 1 < job.tokens) queue.after(returnMs, () => run(token + 1, 0));
    else queue.after(returnMs + toHostMs, end);
  }

  function end(): void {
    const endMs = queue.now();
    const perTokenMs = (endMs - firstMs) / (job.tokens - 1);
    for (const stage of route) {
      engineOf(sim, stage).releaseKv(kvTokens);
      host.policy.observe({
        kind: 'finished',
        endpoint: stage.endpoint,
        tokens: kvTokens,
      });
    }
    host.policy.observe({kind: 'pace', route, intervalMs: perTokenMs});
    ended();
    if (endMs < WARM_UP_MS) return;
    const deadlineMs = DEADLINE_MS + job.tokens * DEADLINE_PER_TOKEN_MS;
    if (endMs - startMs <= deadlineMs) sim.tokens += job.tokens;
    sim.firstToken.recordValue(Math.max(1, Math.round(firstMs - startMs)));
    sim.perToken.recordValue(Math.max(1, Math.round(1000 * perTokenMs)));
  }

  queue.after(toHostMs, () => run(0, 0));
}

function engineOf(sim: Simulation, stage: Route[number]): Engine {
  return sim.engines.get(stage.endpoint) as Engine;
}
