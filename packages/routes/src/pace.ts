import type {LayerRange} from '@chivewick/engines';
import {decodeStepUs} from './cost.js';
import type {Endpoint} from './endpoint.js';
import type {Links} from './links.js';

/** Share of the difference that one observation corrects. */
const GAIN = 0.2;
/** Expected error of the predicted step of a stage, as a share of it. */
const STAGE_ERROR_SHARE = 0.1;
/** Expected error of the latency of a link, as a share of it. */
const LINK_ERROR_SHARE = 0.5;
const MIN_LINK_ERROR_US = 100;
const MAX_SLOWNESS = 50;
const MIN_SLOWNESS = 0.5;

/** A stage of an observed stream. */
export interface ObservedStage extends LayerRange {
  readonly endpoint: Endpoint;
}

/**
 * Corrects the slowness of endpoints and the latency of links from an observed
 * interval between tokens. The difference to the predicted interval is divided
 * among the parts in proportion to their expected errors (normalised least mean
 * squares, Widrow and Hoff 1960). Over several routes that share a part, the
 * correction converges on the part that causes the difference.
 *
 * @example
 * applyPace([{endpoint, from: 0, to: 24}], 18_000, links);
 */
export function applyPace(
  stages: readonly ObservedStage[],
  intervalUs: number,
  links: Links,
): void {
  const parts = [...stageParts(stages), ...linkParts(stages, links)];
  const predictedUs = parts.reduce((sum, part) => sum + part.predictedUs, 0);
  const errorUs = parts.reduce((sum, part) => sum + part.errorUs, 0);
  const differenceUs = GAIN * (intervalUs - predictedUs);
  for (const part of parts)
    part.correct((differenceUs * part.errorUs) / errorUs);
}

/** Contribution of one stage or link to the predicted interval. */
interface IntervalPart {
  readonly predictedUs: number;
  readonly errorUs: number;
  readonly correct: (deltaUs: number) => void;
}

function stageParts(stages: readonly ObservedStage[]): IntervalPart[] {
  return stages.flatMap(({endpoint, from, to}) => {
    const {status} = endpoint;
    if (status === undefined) return [];
    const predictedUs = decodeStepUs(endpoint, status, {from, to});
    const correct = (deltaUs: number): void => {
      const slowness = endpoint.slowness * (1 + deltaUs / predictedUs);
      endpoint.slowness = clamp(slowness, MIN_SLOWNESS, MAX_SLOWNESS);
    };
    return [{predictedUs, errorUs: STAGE_ERROR_SHARE * predictedUs, correct}];
  });
}

function linkParts(
  stages: readonly ObservedStage[],
  links: Links,
): IntervalPart[] {
  return stages.slice(1).map(({endpoint}, index) => {
    const from = stages[index].endpoint.domain;
    const to = endpoint.domain;
    const predictedUs = 2 * links.oneWayUs(from, to);
    const errorUs = Math.max(MIN_LINK_ERROR_US, LINK_ERROR_SHARE * predictedUs);
    const correct = (deltaUs: number): void =>
      links.correct(from, to, deltaUs / 2);
    return {predictedUs, errorUs, correct};
  });
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
