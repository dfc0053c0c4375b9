import {
  id,
  type EndpointId,
  type FailureDomain,
  PREFIX_BLOCK_TOKENS,
  type Random,
} from '@chivewick/common';

/** Layers of the simulated model. */
export const LAYERS = 24;
/** Maximum number of sessions in one decode step. */
export const BATCH = 32;
/**
 * Sessions in a step above which its duration grows; below, reading the weights
 * takes longer than the computation (roofline model).
 */
const KNEE = 8;
/** KV positions of an engine of 12 layers: about 64 sessions. */
const SESSION_TOKENS = 768;
const KV_TOKENS_OF_12_LAYERS = 64 * SESSION_TOKENS;
/** Capacity of the prefix cache of one engine, in blocks. */
export const CACHE_BLOCKS = 400;
/** Cost of prefilling one token, as a fraction of a decode step. */
export const PREFILL_FRACTION = 1 / 400;
/** Microseconds per layer and decode step of the four kinds of accelerator. */
const DECODE_US = [1000, 1500, 2000, 4000];
export const TEMPLATES = 200;
const TEMPLATE_BYTES = 512;
const TAIL_BYTES = 200;
const MIN_TOKENS = 16;
const MEAN_EXTRA_TOKENS = 32;
export const MEAN_TOKENS = MIN_TOKENS + MEAN_EXTRA_TOKENS;
/** One-way latency in milliseconds between failure domains a, b and c. */
const LINK_MS = [
  [0.1, 1, 3],
  [1, 0.1, 10],
  [3, 10, 0.1],
];
/** Layer boundaries of the replicas, assigned round-robin. */
const RANGES = {
  aligned: [[0, 12, 24]],
  quarters: [[0, 6, 12, 18, 24]],
  mixed: [
    [0, 12, 24],
    [0, 8, 16, 24],
    [0, 12, 24],
    [0, 16, 24],
  ],
};

/** Layout of layer ranges: the same for all replicas, or `mixed`. */
export type RangeLayout = keyof typeof RANGES;

/** One simulated engine. */
export interface Machine {
  readonly id: EndpointId;
  readonly domain: number;
  readonly from: number;
  readonly to: number;
  readonly decodeUs: number;
}

/** A request of a caller. */
export interface Job {
  readonly prompt: string;
  readonly tokens: number;
}

/** Name of a failure domain. */
export function domainName(domain: number): FailureDomain {
  return id<FailureDomain>(`zone-${'abc'[domain]}`);
}

/** One-way latency in milliseconds. */
export function linkMs(from: number, to: number): number {
  return LINK_MS[from][to];
}

/** Creates the engines of all replicas, spread over the failure domains. */
export function createMachines(
  replicas: number,
  layout: RangeLayout,
): Machine[] {
  const machines: Machine[] = [];
  for (let replica = 0; replica < replicas; replica++) {
    const cuts = RANGES[layout][replica % RANGES[layout].length];
    for (let stage = 0; stage + 1 < cuts.length; stage++) {
      // Shifted after every four replicas, so that no range has only one kind
      // of accelerator.
      const kind = replica + Math.floor(replica / 4) + stage;
      machines.push({
        id: id<EndpointId>(`r${replica}-s${stage}`),
        domain: Math.floor(replica / 4) % LINK_MS.length,
        from: cuts[stage],
        to: cuts[stage + 1],
        decodeUs: DECODE_US[kind % DECODE_US.length],
      });
    }
  }
  return machines;
}

/** KV positions of an engine; a position takes memory for every layer. */
export function kvTokens({from, to}: Machine): number {
  return Math.floor((KV_TOKENS_OF_12_LAYERS * 12) / (to - from));
}

/** Sessions over all layers that fit in the KV caches of all engines. */
export function sessionsOf(machines: readonly Machine[]): number {
  return (
    (machines.length * KV_TOKENS_OF_12_LAYERS * 12) / (SESSION_TOKENS * LAYERS)
  );
}

/** Duration of a step relative to one with a single session. */
export function batchFactor(sessions: number): number {
  return Math.max(1, sessions / KNEE);
}

/** Draws a job; templates follow a Zipf distribution with exponent 0.8. */
export function createJobs(random: Random): () => Job {
  const weights: number[] = [];
  let total = 0;
  for (let rank = 1; rank <= TEMPLATES; rank++)
    weights.push((total += rank ** -0.8));
  return () => {
    const at = random.next() * total;
    const template = weights.findIndex(weight => weight >= at);
    const tail = random.int(1e9).toString().padStart(TAIL_BYTES, 't');
    const extra = -MEAN_EXTRA_TOKENS * Math.log(1 - random.next());
    return {
      prompt: `${template}`.padEnd(TEMPLATE_BYTES, 'p') + tail,
      tokens: MIN_TOKENS + Math.round(extra),
    };
  };
}

/**
 * Upper bound of the requests per second: full batches, every template cached,
 * and layers divided evenly. By Hall's theorem, every set of layers must
 * be within the capacity of the engines that hold any of them; layers between
 * the same two boundaries are equivalent, so sets of such segments suffice.
 */
export function boundPerSecond(machines: readonly Machine[]): number {
  const stepsPerRequest =
    (MEAN_TOKENS * batchFactor(BATCH)) / BATCH +
    (TAIL_BYTES + (TEMPLATE_BYTES % PREFIX_BLOCK_TOKENS)) * PREFILL_FRACTION;
  const cuts = [...new Set(machines.flatMap(({from, to}) => [from, to]))];
  cuts.sort((a, b) => a - b);
  const segments = cuts.slice(1).map((to, at) => ({from: cuts[at], to}));
  let lowest = Infinity;
  for (let set = 1; set < 2 ** segments.length; set++) {
    const chosen = segments.filter((_, at) => (set >> at) & 1);
    const layers = chosen.reduce((sum, {from, to}) => sum + to - from, 0);
    const layersPerSecond = machines
      .filter(machine =>
        chosen.some(({from, to}) => machine.from < to && machine.to > from),
      )
      .reduce((sum, {decodeUs}) => sum + 1e6 / decodeUs, 0);
    lowest = Math.min(lowest, layersPerSecond / layers);
  }
  return lowest / stepsPerRequest;
}
