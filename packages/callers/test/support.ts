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
import type {AddressInfo} from 'node:net';
import {
  createCallersServer,
  type CallersPorts,
  type ModelEvent,
} from '../src/index.js';

export const KEY = 'key-of-san-fermin';

export const GRANT: WorkspaceGrant = {
  workspace: id<WorkspaceId>('san-fermin'),
  plan: id<PlanName>('parish'),
  models: new Map([
    [
      id<ModelName>('rota'),
      {
        model: id<ModelName>('rota'),
        version: 'v1',
        layers: 4,
        adapters: ['formal'],
      },
    ],
  ]),
  services: new Map([
    [
      id<ServiceName>('bookings'),
      {
        service: id<ServiceName>('bookings'),
        repeatable: true,
        nonRepeatablePaths: ['/slots'],
      },
    ],
  ]),
  priority: 1,
  concurrency: 4,
  tokensPerSecond: 100,
};

/** State and calls recorded by the fake ports. */
export interface Seen {
  permits: number;
  slots: number;
  /** Signals of pipeline runs; a test checks that a disconnect aborts them. */
  signals: AbortSignal[];
  calls: string[];
}

/** Creates ports that respond to each model request with the given events. */
export function fakePorts(
  events: (signal: AbortSignal) => AsyncIterable<ModelEvent> = threeTokens,
): {ports: CallersPorts; seen: Seen} {
  const seen: Seen = {permits: 0, slots: 0, signals: [], calls: []};
  const answer = {status: 200, contentType: 'application/json', body: '{}'};
  const ports: CallersPorts = {
    unavailable: () => undefined,
    grantOfKey: digest => (digest === sha256(KEY) ? GRANT : undefined),
    pipeline: {
      run(_req, signal) {
        seen.signals.push(signal);
        return events(signal);
      },
      resume: (_eventId, _grant, signal) => events(signal),
    },
    limits: {
      acquire() {
        seen.permits += 1;
        return Promise.resolve(
          ok({
            expired: new AbortController().signal,
            recordTokens: () => {},
            release: () => (seen.permits -= 1),
          }),
        );
      },
    },
    admission: {
      acquire() {
        seen.slots += 1;
        return Promise.resolve(ok({release: () => (seen.slots -= 1)}));
      },
    },
    ledger: {
      call(req) {
        seen.calls.push(`once ${req.key} as ${req.call.idempotencyKey}`);
        return Promise.resolve({kind: 'answered', answer, replayed: false});
      },
      lookup: () => Promise.resolve(ok({})),
    },
    lookup(_service, call) {
      seen.calls.push(`lookup ${call.method} ${call.path}`);
      return Promise.resolve({kind: 'answered', answer});
    },
    onRequestFinished: () => {},
  };
  return {ports, seen};
}

export async function* threeTokens(): AsyncIterable<ModelEvent> {
  const words = ['lilies ', 'and ', 'roses'];
  for (const [at, text] of words.entries()) {
    yield {type: 'token', id: `r:${at}`, position: 5 + at, token: 300, text};
  }
  const usage = {promptTokens: 5, generatedTokens: 3};
  yield {type: 'done', reason: 'length', usage};
}

/** Listens on loopback; returns the base URL. */
export async function listen(
  ports: CallersPorts,
): Promise<{url: string; port: number; close(): Promise<void>}> {
  const server = createCallersServer(ports);
  await new Promise<void>(r => server.listen(0, '127.0.0.1', r));
  const {port} = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    port,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
