import fc from 'fast-check';
import {jsonValue} from '../core/json-values.js';

/** Types of fields; `count` is a non-negative integer. */
type FieldType =
  'string' | 'number' | 'integer' | 'count' | 'array' | 'boolean' | 'object';

/** A method between hosts: a valid message and its required fields. */
interface MessageSchema {
  readonly method: string;
  readonly example: object;
  /** Types by path; the segments of a path are joined by dots. */
  readonly fields: Readonly<Record<string, FieldType>>;
}

/** A message that the host must refuse. */
export interface BadMessage {
  readonly method: string;
  readonly params: unknown;
}

const holder = {host: 'nav-a-1', incarnation: 1};
const capacity = {concurrency: 1, tokensPerSecond: 1};
const view = {version: 1, limit: capacity};
const versions = {plans: 1, entitlements: 2};
const delta = {set: {}, del: []};
const ping = {i: 1, u: [['nav-c-1', 'alive', 1]]};
const crash = {endpoint: 'e1', host: 'nav-b-1', at: 9e12, trial: true};
const routed = {id: 'san-fermin\nswap-17', waitMs: 50, excluded: []};
const capacityTypes = (path: string): Record<string, FieldType> => ({
  [path]: 'object',
  [`${path}.concurrency`]: 'count',
  [`${path}.tokensPerSecond`]: 'count',
});
const routedTypes = {
  id: 'string',
  waitMs: 'number',
  excluded: 'array',
} as const;

const SCHEMAS: readonly MessageSchema[] = [
  {
    method: 'lists.push',
    example: {
      from: versions,
      to: {plans: 3, entitlements: 2},
      plans: delta,
      entitlements: delta,
      digest: 'a',
    },
    fields: {
      from: 'object',
      'from.plans': 'count',
      to: 'object',
      'to.entitlements': 'count',
      'plans.set': 'object',
      'entitlements.del': 'array',
      digest: 'string',
    },
  },
  {
    method: 'lists.fetch',
    example: {have: versions},
    fields: {'have.plans': 'count', 'have.entitlements': 'count'},
  },
  {
    method: 'limits.grant',
    example: {
      workspace: 'san-fermin',
      holder,
      target: capacity,
      touch: 0,
      draining: 0,
      version: 0,
      limit: capacity,
      listsVersion: 1,
    },
    fields: {
      workspace: 'string',
      holder: 'object',
      'holder.host': 'string',
      'holder.incarnation': 'integer',
      touch: 'integer',
      draining: 'count',
      version: 'integer',
      listsVersion: 'integer',
      ...capacityTypes('target'),
      ...capacityTypes('limit'),
    },
  },
  {
    method: 'limits.reclaim',
    example: {workspace: 'san-fermin', holder, view, take: capacity},
    fields: {
      workspace: 'string',
      holder: 'object',
      'holder.incarnation': 'integer',
      view: 'object',
      'view.version': 'integer',
      ...capacityTypes('take'),
      ...capacityTypes('view.limit'),
    },
  },
  {
    method: 'ledger.call',
    example: {
      ...routed,
      callId: 'c1',
      digest: 'd',
      service: 'bookings',
      call: {method: 'POST', path: '/slots', body: '{}'},
    },
    fields: {
      ...routedTypes,
      callId: 'string',
      digest: 'string',
      service: 'string',
      call: 'object',
      'call.method': 'string',
      'call.path': 'string',
      'call.body': 'string',
    },
  },
  {method: 'ledger.lookup', example: routed, fields: routedTypes},
  {
    method: 'ledger.settle',
    example: {
      ...routed,
      intent: '1.1',
      outcome: {kind: 'unknown', message: 'm'},
    },
    fields: {
      ...routedTypes,
      intent: 'string',
      outcome: 'object',
      'outcome.kind': 'count',
      'outcome.message': 'string',
    },
  },
  {
    method: 'ledger.handover',
    example: {partition: 1},
    fields: {partition: 'count'},
  },
  {
    method: 'membership.ping',
    example: ping,
    fields: {
      i: 'count',
      u: 'array',
      'u.0': 'array',
      'u.0.0': 'string',
      'u.0.2': 'count',
    },
  },
  {
    method: 'membership.pingReq',
    example: {target: 'nav-c-1', message: ping},
    fields: {target: 'string', message: 'object', 'message.i': 'count'},
  },
  {
    method: 'quarantine.suspect',
    example: {
      crashes: [{fingerprint: 'f1', ...crash}],
      bans: [{fingerprint: 'f2', expiresAt: 9e12, evidence: [crash]}],
    },
    fields: {
      crashes: 'array',
      'crashes.0.fingerprint': 'string',
      'crashes.0.endpoint': 'string',
      'crashes.0.at': 'number',
      'crashes.0.trial': 'boolean',
      bans: 'array',
      'bans.0.fingerprint': 'string',
      'bans.0.expiresAt': 'number',
      'bans.0.evidence': 'array',
      'bans.0.evidence.0.endpoint': 'string',
    },
  },
  {
    method: 'quarantine.trial',
    example: {fingerprint: 'f1', endpoints: ['e1']},
    fields: {
      fingerprint: 'string',
      endpoints: 'array',
      'endpoints.0': 'string',
    },
  },
];

/** Generates messages with a field of a wrong type, and non-object values. */
export const badMessages: fc.Arbitrary<BadMessage> = fc
  .constantFrom(...SCHEMAS)
  .chain(({method, example, fields}) => {
    const broken = fc
      .constantFrom(...Object.entries(fields))
      .chain(([path, type]) =>
        jsonValue
          .filter(value => !isOfType(value, type))
          .map(value => setAt(example, path.split('.'), value)),
      );
    const other = jsonValue.filter(value => !isOfType(value, 'object'));
    return fc
      .oneof({weight: 5, arbitrary: broken}, other)
      .map(params => ({method, params}));
  });

function isOfType(value: unknown, type: FieldType): boolean {
  switch (type) {
    case 'string':
      return typeof value === 'string';
    case 'number':
      return typeof value === 'number';
    case 'integer':
      return Number.isSafeInteger(value);
    case 'count':
      return Number.isSafeInteger(value) && (value as number) >= 0;
    case 'boolean':
      return typeof value === 'boolean';
    case 'array':
      return Array.isArray(value);
    case 'object':
      return (
        typeof value === 'object' && value !== null && !Array.isArray(value)
      );
  }
}

function setAt(
  base: unknown,
  path: readonly string[],
  value: unknown,
): unknown {
  const [key, ...rest] = path;
  if (key === undefined) return value;
  const inner = (base as Record<string, unknown>)[key];
  const changed = setAt(inner, rest, value);
  if (Array.isArray(base))
    return base.map((item: unknown, at) =>
      String(at) === key ? changed : item,
    );
  return {...(base as object), [key]: changed};
}
