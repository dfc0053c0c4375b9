import {pause, type Logger} from '@chivewick/common';
import {Server as NetServer} from 'node:net';
import type {CallerServer} from './caller-server.js';
import type {HostBounds, RequestKind} from './types.js';

/** The load balancer removes a host after two checks, one second apart. */
const LEAVE_ROTATION_MS = 2_500;
/** Part of the grace period that is reserved for the exit of the process. */
const EXIT_MARGIN_MS = 500;
/** Time for sending the answers to requests that are given up at the end. */
const LAST_ANSWERS_MS = 200;
/**
 * Time between the end of listening and the close of idle connections, for requests
 * that are on their way on a connection that was just accepted.
 */
const LINGER_MS = 300;
/** Interval at which a stopping host checks for requests in progress. */
const STOP_POLL_MS = 50;

/** The planned stop of a host, during which no request in progress is cut off. */
export interface GracefulStop {
  /** Whether the host is stopping, so that callers should disconnect. */
  isStopping(): boolean;
  /**
   * Whether a new request can still be completed before the stop.
   *
   * @param durationMs longest time that the request may take.
   */
  accepts(kind: RequestKind, durationMs: number): boolean;
  /**
   * Resolves once requests in progress are complete and the host does not listen any
   * more. Further calls, as after a second signal, wait for the same stop.
   */
  run(): Promise<void>;
}

/**
 * Creates the stop of a host that serves callers.
 *
 * @example
 * const gracefulStop = createGracefulStop({callers, tunnels, bounds, giveUp, log});
 * process.on('SIGTERM', () => void gracefulStop.run());
 */
export function createGracefulStop({
  callers,
  tunnels,
  bounds,
  giveUp,
  log,
}: {
  readonly callers: CallerServer;
  /** Number of connections that carry requests of other hosts. */
  readonly tunnels: () => number;
  readonly bounds: () => HostBounds;
  /** Answers the requests in progress, whose time is over. */
  readonly giveUp: () => void;
  readonly log: Logger;
}): GracefulStop {
  let stopping: Promise<void> | undefined;
  /** Time from which streams are rejected, which may last for minutes. */
  let streamsUntilMs = Infinity;
  /** Time at which requests in progress are given up. */
  let endMs = Infinity;
  const running = () => callers.running() + tunnels();

  async function run(): Promise<void> {
    const startMs = performance.now();
    const elapsedMs = () => performance.now() - startMs;
    log.event('gatewayStopping', {running: running()});
    const {graceMs} = bounds();
    endMs = startMs + graceMs - EXIT_MARGIN_MS - LAST_ANSWERS_MS;
    streamsUntilMs = startMs + LEAVE_ROTATION_MS;
    const mayWait = () => performance.now() < endMs;
    while (elapsedMs() < LEAVE_ROTATION_MS) await pause(STOP_POLL_MS);
    // New connections are still accepted, to redirect callers to other hosts.
    while (running() > 0 && mayWait()) await pause(STOP_POLL_MS);
    // The kernel resets connections that wait to be accepted. After the event loop
    // has polled, none is waiting.
    await new Promise(resolve => setImmediate(resolve));
    // The close of an HTTP server also closes connections without a request yet.
    NetServer.prototype.close.call(callers.server);
    await pause(LINGER_MS);
    while (running() > 0 && mayWait()) await pause(STOP_POLL_MS);
    const unfinished = running();
    giveUp();
    const untilMs = performance.now() + LAST_ANSWERS_MS;
    while (callers.running() > 0 && performance.now() < untilMs)
      await pause(STOP_POLL_MS);
    log.event('gatewayStopped', {
      running: unfinished,
      elapsedMs: Math.round(elapsedMs()),
    });
  }

  return {
    isStopping: () => stopping !== undefined,
    accepts: (kind, durationMs) =>
      kind === 'stream'
        ? performance.now() < streamsUntilMs
        : performance.now() + durationMs <= endMs,
    run: () => (stopping ??= run()),
  };
}
