import type {CallersPorts} from '@chivewick/callers';
import {
  id,
  ok,
  sha256,
  type ModelName,
  type PlanName,
  type ServiceName,
  type WorkspaceGrant,
  type WorkspaceId,
} from '@chivewick/common';

type Events = ReturnType<CallersPorts['pipeline']['run']>;

/** The caller's key that the fake ports know. */
export const CALLERS_KEY = 'key-of-san-fermin';

const MODEL = id<ModelName>('rota');
const SERVICE = id<ServiceName>('bookings');

const GRANT: WorkspaceGrant = {
  workspace: id<WorkspaceId>('san-fermin'),
  plan: id<PlanName>('parish'),
  models: new Map([
    [MODEL, {model: MODEL, version: 'v1', layers: 4, adapters: ['formal']}],
  ]),
  services: new Map([
    [
      SERVICE,
      {service: SERVICE, repeatable: true, nonRepeatablePaths: ['/slots']},
    ],
  ]),
  priority: 1,
  concurrency: 4,
  tokensPerSecond: 100,
};

/** What is taken and not given back. */
export interface Taken {
  permits: number;
  slots: number;
}

/**
 * Creates ports that answer at once and count permits and slots.
 *
 * @example
 * const {ports, taken} = createFakePorts();
 */
export function createFakePorts(): {ports: CallersPorts; taken: Taken} {
  const taken: Taken = {permits: 0, slots: 0};
  const answer = {status: 200, contentType: 'application/json', body: '{}'};
  const ports: CallersPorts = {
    unavailable: () => undefined,
    grantOfKey: digest => (digest === sha256(CALLERS_KEY) ? GRANT : undefined),
    pipeline: {run: () => threeTokens(), resume: () => threeTokens()},
    limits: {
      async acquire() {
        taken.permits += 1;
        const expired = new AbortController().signal;
        const release = () => void (taken.permits -= 1);
        return ok({expired, recordTokens: () => {}, release});
      },
    },
    admission: {
      async acquire() {
        taken.slots += 1;
        return ok({release: () => void (taken.slots -= 1)});
      },
    },
    ledger: {
      call: async () => ({kind: 'answered', answer, replayed: false}),
      lookup: async (_workspace, key) => ok({key}),
    },
    lookup: async () => ({kind: 'answered', answer}),
    finished: () => {},
  };
  return {ports, taken};
}

async function* threeTokens(): Events {
  for (const [at, text] of ['lilies ', 'and ', 'roses'].entries()) {
    await Promise.resolve();
    yield {
      type: 'token',
      id: `r/e/1/${at}`,
      position: 5 + at,
      token: 300,
      text,
    };
  }
  const usage = {promptTokens: 5, generatedTokens: 3};
  yield {type: 'done', reason: 'length', usage};
}
