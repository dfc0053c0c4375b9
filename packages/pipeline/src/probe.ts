/** Asks all stages of a route for a session's position, in parallel. */
import type {EndpointId, RequestId, Result} from '@chivewick/common';
import type {EngineApi, Route, SessionState} from '@chivewick/engines';

/** What a stage answered; undefined when it did not answer in time. */
export interface ProbeAnswer {
  readonly endpoint: EndpointId;
  readonly state: Result<SessionState> | undefined;
}

export interface ProbeLimits {
  /** Least time that a stage has to answer, in milliseconds. */
  readonly probeFloorMs: number;
  /** Longest time that a stage has to answer, in milliseconds. */
  readonly probeMs: number;
}

/** A stage is silent when it takes this many times the slowest answer. */
const SILENT_FACTOR = 4;
/** A timer this late shows that this process itself was paused. */
const PAUSE_MS = 10;
/** Times that a pause of this process starts the wait again. */
const MAX_EXTENSIONS = 3;

/**
 * Probes every stage. Once one stage has answered, the others have
 * `max(probeFloorMs, 4 * slowest answer)`: a delay of this host or its network
 * shows in the answers as well, so that it is not taken for a dead stage.
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
  let extensions = 0;
  let slowestMs = 0;
  let changed = () => {};
  for (const {endpoint, address} of route)
    void engines.session(address, session, limits.probeMs).then(state => {
      states.set(endpoint, state);
      slowestMs = performance.now() - sentMs;
      changed();
    });
  while (states.size < route.length) {
    const limitMs =
      states.size === 0
        ? limits.probeMs
        : Math.max(limits.probeFloorMs, SILENT_FACTOR * slowestMs);
    const dueMs = startMs + Math.min(limitMs, limits.probeMs);
    const nowMs = performance.now();
    if (nowMs >= dueMs) {
      const paused = nowMs - dueMs > PAUSE_MS && extensions < MAX_EXTENSIONS;
      if (!paused) break;
      // Answers may have arrived during the pause and not been read yet.
      extensions += 1;
      startMs = nowMs;
      continue;
    }
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>(resolve => {
      changed = resolve;
      timer = setTimeout(resolve, dueMs - nowMs);
    });
    clearTimeout(timer);
  }
  return route.map(({endpoint}) => ({endpoint, state: states.get(endpoint)}));
}

/**
 * Whether a probe shows a stage that is there.
 *
 * @example
 * const silent = answers.filter(answer => !isPresent(answer));
 */
export function isPresent({state}: ProbeAnswer): boolean {
  if (state === undefined) return false;
  return state.ok || state.err.kind === 'gone';
}

/**
 * Whether a stage gave no answer at all in the time it had.
 *
 * @example
 * const cutOff = answers.every(isSilent);
 */
export function isSilent({state}: ProbeAnswer): boolean {
  if (state === undefined) return true;
  return !state.ok && state.err.kind === 'deadline_exceeded';
}

/** Position of a stage; -1 when it does not know the session. */
function position({state}: ProbeAnswer): number {
  return state?.ok ? state.value.position : -1;
}

/**
 * Summary of all positions, to see whether anything moved between two rounds.
 *
 * @example
 * const moved = progressOf(answers) !== before;
 */
export function progressOf(answers: readonly ProbeAnswer[]): string {
  return answers.map(position).join(' ');
}

/**
 * The stage that the others wait for: the first that is behind the stage
 * before it, or the head when it has not run all known tokens. Undefined when
 * every stage has done its part.
 *
 * @example
 * const endpoint = laggardOf(answers, run.tokens.length);
 */
export function laggardOf(
  answers: readonly ProbeAnswer[],
  knownTokens: number,
): EndpointId | undefined {
  const behind = answers.findIndex(
    (answer, i) => i > 0 && position(answer) < position(answers[i - 1]),
  );
  if (behind > 0) return answers[behind].endpoint;
  return position(answers[0]) < knownTokens ? answers[0].endpoint : undefined;
}
