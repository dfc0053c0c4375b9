import type {WorkspaceGrant} from '@chivewick/common';
import type {Bench} from './bench.js';
import {POLICIES, type PolicyName} from './limits-policies.js';
import {
  arrivalsPerSecond,
  createLimitsHarness,
  makeGrant,
  type LimitsHarness,
} from './limits-harness.js';

const HOSTS = 9;
/** Ten workspaces, a few of them large. */
const PLANS = [64, 64, 24, 24, 24, 8, 8, 8, 8, 8];
const MESSAGES_TARGET = 1 / 20;
const USABLE_TARGET = 0.95;
const FAULT_INTERVAL_MS = 500;
const FIRST_FAULT_MS = 5_000;
const RESTART_CHANCE = 0.02;
const MOVE_INTERVAL_MS = 5_000;

interface Scene {
  readonly name: string;
  /** Offered load relative to the plans. */
  readonly load: number;
  /** The host at which a request of a workspace arrives. */
  readonly pick: (harness: LimitsHarness, plan: number) => number;
  readonly faults: boolean;
}

const anyHost = (harness: LimitsHarness) => harness.random.int(HOSTS);
const movingHost = (_: LimitsHarness, plan: number) =>
  (plan + Math.floor(performance.now() / MOVE_INTERVAL_MS)) % HOSTS;

const SCENES: Scene[] = [
  {name: 'spread 80%', load: 0.8, pick: anyHost, faults: false},
  {name: 'spread 150%', load: 1.5, pick: anyHost, faults: false},
  {name: 'moving host 80%', load: 0.8, pick: movingHost, faults: false},
  {name: 'spread 80% with faults', load: 0.8, pick: anyHost, faults: true},
];

const grants = () =>
  PLANS.map((concurrency, at) => makeGrant(`workspace-${at}`, concurrency));

function offer(
  harness: LimitsHarness,
  scene: Scene,
  grant: WorkspaceGrant,
  plan: number,
): void {
  const perSecond = arrivalsPerSecond(grant.concurrency, scene.load);
  const arrive = () => {
    void harness.request(scene.pick(harness, plan), grant);
    setTimeout(arrive, harness.exponential(1000 / perSecond));
  };
  setTimeout(arrive, harness.exponential(1000 / perSecond));
}

/** Injects a random fault; several faults may be active at the same time. */
function injectFault(harness: LimitsHarness): void {
  const {faults, random} = harness;
  const kinds = [
    () => (faults.loseRequests += 1 + random.int(4)),
    () => (faults.loseAnswers += 1 + random.int(4)),
    () => (faults.loseWriteAnswers += 1 + random.int(3)),
    () => (faults.lateWrites += 1 + random.int(3)),
    () => (faults.slowMs = random.int(2) * 200),
    () => {
      faults.outage = true;
      setTimeout(() => (faults.outage = false), 1_000 + random.int(5_000));
    },
    () => faults.isolatedHosts.add(`host-${random.int(HOSTS)}`),
    () => faults.isolatedHosts.clear(),
    () => harness.pause(random.int(HOSTS), 1_000 + random.int(10_000)),
  ];
  kinds[random.int(kinds.length)]();
  if (random.next() < RESTART_CHANCE) harness.restart(random.int(HOSTS));
  setTimeout(() => injectFault(harness), FAULT_INTERVAL_MS);
}

async function runScene(
  scene: Scene,
  policy: PolicyName,
  seed: number,
  seconds: number,
) {
  const all = grants();
  const harness = createLimitsHarness({
    policy,
    hosts: HOSTS,
    seed,
    grants: all,
  });
  try {
    all.forEach((grant, plan) => offer(harness, scene, grant, plan));
    if (scene.faults) {
      setTimeout(() => injectFault(harness), FIRST_FAULT_MS);
    }
    await harness.time.advance(seconds * 1000);
    const {requests, refused, overGrants, messages} = harness.counts;
    return {
      overGrants,
      refused: refused / requests,
      messages: messages / requests,
      writes: harness.store.writes() / seconds,
    };
  } finally {
    harness.close();
  }
}

/**
 * Fraction of the slots of a plan that one busy host uses a second after its
 * burst.
 */
async function usableSlots(policy: PolicyName, seed: number): Promise<number> {
  const grant = makeGrant('busy', 64);
  const harness = createLimitsHarness({
    policy,
    hosts: HOSTS,
    seed,
    grants: [grant],
  });
  try {
    for (let at = 0; at < HOSTS * 3; at += 1) {
      void harness.request(at % HOSTS, grant, 300);
    }
    await harness.time.advance(5_000);
    for (let i = 0; i < 64; i += 1) void harness.request(0, grant, 60_000);
    await harness.time.advance(1_000);
    return harness.usedOn(0, grant.workspace) / grant.concurrency;
  } finally {
    harness.close();
  }
}

/**
 * Fraction of the plan's tokens that one busy host starts in seconds 1 to 4.
 */
async function usableTokens(policy: PolicyName, seed: number): Promise<number> {
  const grant = makeGrant('busy', 64, 400);
  const tokens = 20;
  const harness = createLimitsHarness({
    policy,
    hosts: HOSTS,
    seed,
    grants: [grant],
  });
  let started = 0;
  let measuring = false;
  const client = async () => {
    if (await harness.request(0, grant, 1_000, tokens)) {
      if (measuring) started += tokens;
    }
    setTimeout(() => void client(), 1_000);
  };
  try {
    for (let at = 0; at < HOSTS * 3; at += 1) {
      void harness.request(at % HOSTS, grant, 300, tokens);
    }
    await harness.time.advance(5_000);
    for (let i = 0; i < 48; i += 1) void client();
    await harness.time.advance(1_000);
    measuring = true;
    await harness.time.advance(3_000);
    return started / (3 * grant.tokensPerSecond);
  } finally {
    harness.close();
  }
}

/**
 * Over-grants, usable fraction of a plan, messages and writes of the limits.
 */
export const bench: Bench = {
  name: 'limits',
  question:
    'Do hosts share a plan without over-grants, and how much of it can one busy host use at how many messages?',
  async run({small, emit}) {
    const seeds = small ? [1] : [1, 2, 3];
    const seconds = small ? 10 : 30;
    for (const policy of Object.keys(POLICIES) as PolicyName[]) {
      const own = policy === 'chivewick';
      const withTarget = (target: number, met: boolean) =>
        own ? {target, met} : {target};
      // The baselines need fewer seeds, which keeps the bench under 30 s.
      for (const seed of own ? seeds : seeds.slice(0, 2)) {
        const line = {seed, policy, size: `${HOSTS} hosts`};
        const slots = await usableSlots(policy, seed);
        emit({
          ...line,
          name: 'slots of a plan usable by one busy host after 1 s',
          figure: round(slots),
          unit: 'share',
          bound: 1,
          ...withTarget(USABLE_TARGET, slots >= USABLE_TARGET),
        });
        // The baselines count slots only.
        if (own) {
          const tokens = await usableTokens(policy, seed);
          emit({
            ...line,
            name: 'tokens/s of a plan usable by one busy host after 1 s',
            figure: round(tokens),
            unit: 'share',
            bound: 1,
            ...withTarget(USABLE_TARGET, tokens >= USABLE_TARGET),
          });
        }
        for (const scene of SCENES.slice(0, small ? 1 : undefined)) {
          const result = await runScene(scene, policy, seed, seconds);
          const at = {...line, scene: scene.name};
          emit({
            ...at,
            name: 'starts above the plan',
            figure: result.overGrants,
            unit: 'requests',
            bound: 0,
            ...withTarget(0, result.overGrants === 0),
          });
          emit({
            ...at,
            name: 'calls between hosts',
            figure: round(result.messages),
            unit: 'calls/request',
            bound: 0,
            ...withTarget(MESSAGES_TARGET, result.messages < MESSAGES_TARGET),
          });
          emit({
            ...at,
            name: 'refused requests',
            figure: round(result.refused),
            unit: 'share',
            bound: round(Math.max(0, 1 - 1 / scene.load)),
          });
          emit({
            ...at,
            name: 'platform writes',
            figure: round(result.writes),
            unit: 'writes/s',
          });
        }
      }
    }
  },
};

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
