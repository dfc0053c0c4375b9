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

/** The API key that the fake ports accept. */
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

/** Numbers of permits and slots that were acquired and not released. */
export interface HeldCounts {
  permits: number;
  slots: number;
}

/**
 * Creates ports that respond immediately and count the held permits and slots.
 *
 * @example
 * const {ports, held} = createFakePorts();
 */
export function createFakePorts(): {ports: CallersPorts; held: HeldCounts} {
  const held: HeldCounts = {permits: 0, slots: 0};
  const answer = {status: 200, contentType: 'application/json', body: '{}'};
  const ports: CallersPorts = {
    unavailable: () => undefined,
    grantOfKey: digest => (digest === sha256(CALLERS_KEY) ? GRANT : undefined),
    pipeline: {run: () => threeTokens(), resume: () => threeTokens()},
    limits: {
      async acquire() {
        held.permits += 1;
        const expired = new AbortController().signal;
        const release = () => void (held.permits -= 1);
        return ok({expired, recordTokens: () => {}, release});
      },
    },
    admission: {
      async acquire() {
        held.slots += 1;
        return ok({release: () => void (held.slots -= 1)});
      },
    },
    ledger: {
      call: async () => ({kind: 'answered', answer, replayed: false}),
      lookup: async (_workspace, key) => ok({key}),
    },
    lookup: async () => ({kind: 'answered', answer}),
    onRequestFinished: () => {},
  };
  return {ports, held};
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
