import {createRandom, createSilentLogger, type HostId} from '@chivewick/common';
import {createMembership} from '@chivewick/membership';
import type {ListeningPeers, Peers} from '@chivewick/peers';
import type {Bench} from './bench.js';
import {
  connectAll,
  fitLine,
  pause,
  startPeers,
  waitFor,
} from './lists-hosts.js';
import {createHeartbeats} from './membership-heartbeats.js';

const SIZES = [8, 16, 32, 64];
const IDLE_MS = 4_000;
const TIMEOUT_MS = 20_000;
const DESIGN_HOSTS = 2_500;
const TARGET_BYTES_PER_S = 16_000;

/** The live hosts as one host sees them. */
export interface LiveView {
  live(): HostId[];
  close(): Promise<void>;
}

type Start = (peers: Peers, seed: number) => LiveView;

const POLICIES: Record<string, Start> = {
  'random probing': (peers, seed) =>
    createMembership({
      self: peers.self,
      peers,
      log: createSilentLogger(),
      random: createRandom(seed),
    }),
  'heartbeats to all': peers => createHeartbeats(peers),
};

interface Figures {
  readonly size: number;
  readonly bytesPerS: number;
  readonly firstMs: number;
  readonly allMs: number;
}

export const bench: Bench = {
  name: 'membership',
  question:
    'What does knowing the live hosts cost each host, and how soon is a frozen host noticed?',
  async run({small, emit}) {
    for (const [policy, start] of Object.entries(POLICIES)) {
      const sizes = small ? SIZES.slice(0, 1) : SIZES;
      // The sizes run concurrently; none of them comes close to using a full
      // core.
      const measured = await Promise.all(
        sizes.map(size => measure(size, start)),
      );
      for (const figures of measured) emitFigures(policy, figures, emit);
      if (!small) extrapolate(policy, measured, emit);
    }
  },
};

async function measure(size: number, start: Start): Promise<Figures> {
  const all = await startPeers(size);
  const frozen = {now: false};
  const last = all[size - 1];
  const views = all.map((peers, seed) =>
    start(peers === last ? freezable(peers, frozen) : peers, seed + 1),
  );
  try {
    await connectAll(all);
    await pause(2_000);
    const before = total(all);
    const startedMs = performance.now();
    await pause(IDLE_MS);
    const seconds = (performance.now() - startedMs) / 1_000;
    const bytesPerS = (total(all) - before) / seconds / size;

    frozen.now = true;
    const others = views.slice(0, -1);
    const hasDetected = (view: LiveView) => !view.live().includes(last.self);
    const firstMs = await waitFor(() => others.some(hasDetected), TIMEOUT_MS);
    const restMs = await waitFor(() => others.every(hasDetected), TIMEOUT_MS);
    return {
      size,
      bytesPerS,
      firstMs: firstMs ?? Infinity,
      allMs: (firstMs ?? Infinity) + (restMs ?? Infinity),
    };
  } finally {
    await Promise.all(all.map(peers => peers.close()));
    await Promise.all(views.map(view => view.close()));
  }
}

/** Bytes sent and received by all hosts. */
function total(all: readonly ListeningPeers[]): number {
  return all.reduce((sum, peers) => {
    const {sent, received} = peers.bytes();
    return sum + sent + received;
  }, 0);
}

/**
 * Peers of a host that can be frozen: it neither responds nor calls, like after
 * SIGSTOP.
 */
function freezable(peers: ListeningPeers, frozen: {now: boolean}): Peers {
  const never = () => new Promise<never>(() => {});
  return {
    ...peers,
    handle: (method, handler) =>
      peers.handle(method, (params: never, from) =>
        frozen.now ? never() : handler(params, from),
      ),
    call: async (to, method, params, options) => {
      if (!frozen.now) return peers.call(to, method, params, options);
      return {ok: false, err: FROZEN};
    },
  };
}

const FROZEN = {
  kind: 'deadline_exceeded',
  message: 'host is frozen',
  hint: '',
  ran: 'not_run',
} as const;

function emitFigures(
  policy: string,
  {size, bytesPerS, firstMs, allMs}: Figures,
  emit: (line: object) => void,
): void {
  const line = (name: string, value: number, unit: string) =>
    emit({seed: 1, policy, size, name, figure: Math.round(value), unit});
  line('sent and received per host', bytesPerS, 'B/s');
  line('frozen host noticed by the first', firstMs, 'ms');
  line('frozen host noticed by all', allMs, 'ms');
}

function extrapolate(
  policy: string,
  measured: readonly Figures[],
  emit: (line: object) => void,
): void {
  const bytes = fitLine(measured.map(m => [m.size, m.bytesPerS]));
  const time = fitLine(measured.map(m => [Math.log2(m.size), m.allMs]));
  const common = {seed: 1, policy, size: DESIGN_HOSTS};
  const bytesPerS = bytes.at(DESIGN_HOSTS);
  emit({
    ...common,
    name: 'sent and received per host, linear fit',
    figure: Math.round(bytesPerS),
    unit: 'B/s',
    target: TARGET_BYTES_PER_S,
    met: bytesPerS <= TARGET_BYTES_PER_S,
  });
  emit({
    ...common,
    name: 'slope per host added',
    figure: Math.round(bytes.slope * 1_000) / 1_000,
    unit: 'B/s',
  });
  emit({
    ...common,
    name: 'frozen host noticed by all, logarithmic fit',
    figure: Math.round(time.at(Math.log2(DESIGN_HOSTS))),
    unit: 'ms',
  });
}
