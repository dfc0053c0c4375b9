import type {Bench} from './bench.js';
import {fitLine} from './capacity-fit.js';
import {
  measureEndpoints,
  measureLists,
  measureStreams,
} from './capacity-roles.js';
import {
  measureConnections,
  measureLedger,
  measureLimits,
} from './capacity-shared-state.js';
import type {Measurement} from './capacity-support.js';

interface Role {
  readonly name: string;
  readonly per: string;
  readonly sizes: readonly number[];
  measure(size: number): Promise<Measurement>;
}

const ROLES: readonly Role[] = [
  {
    name: 'streams in progress',
    per: 'stream',
    sizes: [250, 500, 1_000, 2_000],
    measure: measureStreams,
  },
  {
    name: 'endpoint table',
    per: 'endpoint',
    sizes: [8, 16, 32, 64],
    measure: measureEndpoints,
  },
  {
    name: 'lists',
    per: 'workspace',
    sizes: [50, 100, 200, 400],
    measure: measureLists,
  },
  {
    name: 'limits',
    per: 'workspace',
    sizes: [50, 100, 200, 400],
    measure: measureLimits,
  },
  {
    name: 'ledger',
    per: 'call',
    sizes: [500, 1_000, 2_000, 4_000],
    measure: measureLedger,
  },
  {
    name: 'peer connections',
    per: 'connection',
    sizes: [4, 8, 16, 32],
    measure: measureConnections,
  },
];

/** Growth of state and cost of each role; docs/CAPACITY.md uses them. */
export const bench: Bench = {
  name: 'capacity',
  question:
    'How do memory, processor time and bytes of each role grow with its size?',
  async run({small, emit}) {
    for (const role of ROLES) {
      const sizes = small ? role.sizes.slice(0, 2) : role.sizes;
      await role.measure(sizes[0]);
      const points: [number, Measurement][] = [];
      for (const size of sizes) points.push([size, await role.measure(size)]);
      const figures = Object.keys(points[0][1]) as (keyof Measurement)[];
      for (const figure of figures) {
        const line = points.map(([x, m]) => [x, m[figure] ?? 0] as const);
        const {slope, intercept, rSquared} = fitLine(line);
        emit({
          role: role.name,
          figure: `${figure} per ${role.per}`,
          slope: round(slope),
          intercept: round(intercept),
          rSquared: round(rSquared),
          points: line.map(([x, y]) => [x, round(y)]),
        });
      }
    }
  },
};

function round(value: number): number {
  return Number(value.toPrecision(4));
}
