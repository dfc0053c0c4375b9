import {linearRegression, rSquared} from 'simple-statistics';

/** A straight line through measured points. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Fraction of the variance that the line explains, 0 to 1. */
  readonly rSquared: number;
}

/** Fits a line by least squares through `[size, figure]` points. */
export function fitLine(points: readonly (readonly [number, number])[]): Fit {
  const data = points.map(([x, y]) => [x, y]);
  const {m, b} = linearRegression(data);
  return {slope: m, intercept: b, rSquared: rSquared(data, x => m * x + b)};
}
