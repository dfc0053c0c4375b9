import {readingMs} from '@chivewick/coordination';
import type {Stage} from '@chivewick/engines';
import {currentSlowness} from './choose-path.js';
import type {EndpointState} from './endpoint-table.js';
import type {EngineProfile} from './types.js';

/**
 * Returns the time in which the engine of a stage reads a prompt, in milliseconds; 0
 * for an unknown accelerator.
 *
 * @example
 * const workMs = stageReadingMs(stage, table.get(stage.endpoint), profile, 774);
 */
export function stageReadingMs(
  stage: Stage,
  state: EndpointState | undefined,
  profile: EngineProfile,
  promptTokens: number,
): number {
  const kind = profile.kinds.get(state?.record.accelerator ?? '');
  if (state === undefined || kind === undefined) return 0;
  return readingMs({
    promptTokens,
    prefillTokensPerS: profile.prefillTokensPerS,
    readFactor: kind.readFactor,
    slowness: currentSlowness(state, performance.now()),
    layers: stage.to - stage.from,
    totalLayers: profile.layers,
  });
}
