/** Requests the position of a session from all stages of a route, in parallel. */
import type {EndpointId, RequestId, Result} from '@chivewick/common';
import type {EngineApi, Route, SessionState} from '@chivewick/engines';

/** Answer of a stage; `state` is undefined if it did not answer in time. */
export interface ProbeAnswer {
  readonly endpoint: EndpointId;
  readonly state: Result<SessionState> | undefined;
}

export interface ProbeLimits {
  /** Minimum time allowed for the answer of a stage, in milliseconds. */
  readonly minProbeMs: number;
  /** Maximum time allowed for the answer of a stage, in milliseconds. */
  readonly maxProbeMs: number;
}

/**
 * A stage is unresponsive if it takes longer than this factor times the slowest
 * answer.
 */
const UNRESPONSIVE_FACTOR = 4;
/** A timer that fires later than this shows that this process was paused. */
const MIN_PAUSE_MS = 10;
/** Maximum number of times that a pause of this process restarts the wait. */
const MAX_WAIT_RESTARTS = 3;

/**
 * Probes every stage. Once one stage has answered, the others must answer within
 * `max(minProbeMs, 4 * slowest answer)`: a delay of this host or its network
 * also delays that answer, so it is not mistaken for a failed stage.
 *
 * @example
 * const answers = await probeStages(engines, session, route, limits);
 */
export async function probeStages(
  engines: EngineApi,
  session: RequestId,
  route: Route,
  limits: ProbeLimits,
): Promise<ProbeAnswer[]> {
  const states = new Map<EndpointId, Result<SessionState>>();
  const sentMs = performance.now();
  let startMs = sentMs;
  let waitRestarts = 0;
  let slowestAnswerMs = 0;
  let wake = () => {};
  for (const {endpoint, address} of route)
    void engines.session(address, session, limits.maxProbeMs).then(state => {
      states.set(endpoint, state);
      slowestAnswerMs = performance.now() - sentMs;
      wake();
    });
  while (states.size < route.length) {
    const limitMs =
      states.size === 0
        ? limits.maxProbeMs
        : Math.max(limits.minProbeMs, UNRESPONSIVE_FACTOR * slowestAnswerMs);
    const dueMs = startMs + Math.min(limitMs, limits.maxProbeMs);
    const nowMs = performance.now();
    if (nowMs >= dueMs) {
      const paused =
        nowMs - dueMs > MIN_PAUSE_MS && waitRestarts < MAX_WAIT_RESTARTS;
      if (!paused) break;
      // Answers may have arrived during the pause without being read yet.
      waitRestarts += 1;
      startMs = nowMs;
      continue;
    }
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>(resolve => {
      wake = resolve;
      timer = setTimeout(resolve, dueMs - nowMs);
    });
    clearTimeout(timer);
  }
  return route.map(({endpoint}) => ({endpoint, state: states.get(endpoint)}));
}

/**
 * Whether a stage answered the probe, with its state or with `gone`.
 *
 * @example
 * const unreachable = answers.filter(answer => !isReachable(answer));
 */
export function isReachable({state}: ProbeAnswer): boolean {
  if (state === undefined) return false;
  return state.ok || state.err.kind === 'gone';
}

/**
 * Whether a stage gave no answer within its time limit.
 *
 * @example
 * const disconnected = answers.every(isUnresponsive);
 */
export function isUnresponsive({state}: ProbeAnswer): boolean {
  if (state === undefined) return true;
  return !state.ok && state.err.kind === 'deadline_exceeded';
}

/** Position of a stage; -1 if it does not know the session. */
function position({state}: ProbeAnswer): number {
  return state?.ok ? state.value.position : -1;
}

/**
 * Snapshot of all positions, to detect progress between two probe rounds.
 *
 * @example
 * const moved = progressSnapshot(answers) !== before;
 */
export function progressSnapshot(answers: readonly ProbeAnswer[]): string {
  return answers.map(position).join(' ');
}

/**
 * Finds the stage that the others wait for: the first that is behind its
 * preceding stage, or the head if it has not run all known tokens. Undefined if
 * every stage is up to date.
 *
 * @example
 * const endpoint = findBottleneck(answers, run.tokens.length);
 */
export function findBottleneck(
  answers: readonly ProbeAnswer[],
  knownTokens: number,
): EndpointId | undefined {
  const behind = answers.findIndex(
    (answer, i) => i > 0 && position(answer) < position(answers[i - 1]),
  );
  if (behind > 0) return answers[behind].endpoint;
  return position(answers[0]) < knownTokens ? answers[0].endpoint : undefined;
}
