import type {HostId} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';

const PERIOD_MS = 1_000;
const MISSED_PERIODS = 3;
const HEARTBEAT = 'bench.heartbeat';

/**
 * The baseline of membership: each host sends a heartbeat to every other host
 * in each period, and a host without a heartbeat for three periods is not live.
 *
 * @example
 * const view = createHeartbeats(peers);
 * view.live();
 */
export function createHeartbeats(peers: Peers): {
  live(): HostId[];
  close(): Promise<void>;
} {
  const lastSeenMs = new Map<HostId, number>();
  for (const host of peers.knownHosts())
    lastSeenMs.set(host, performance.now());
  peers.handle(HEARTBEAT, (_params, from) => {
    lastSeenMs.set(from, performance.now());
  });
  const timer = setInterval(() => {
    for (const host of peers.knownHosts())
      void peers.call(host, HEARTBEAT, {}, {timeoutMs: PERIOD_MS});
  }, PERIOD_MS);
  return {
    live() {
      const since = performance.now() - MISSED_PERIODS * PERIOD_MS;
      const others = [...lastSeenMs].filter(([, atMs]) => atMs >= since);
      return [...others.map(([host]) => host), peers.self];
    },
    async close() {
      clearInterval(timer);
    },
  };
}
