// Guards against evidence that keeps the bodies of finished requests in memory.
import {
  createSilentLogger,
  id,
  type EndpointId,
  type HostId,
} from '@chivewick/common';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {EndpointState} from '../src/endpoint-table.js';
import {
  createQuarantine,
  type SuspectExchange,
} from '../src/quarantine/index.js';
import {PLAIN} from './harness.js';

const BODY_BYTES = 1_000_000;
const ENDPOINTS = 8;
/** Suspects that are kept for one endpoint. */
const SUSPECTS = 32;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const bodies: WeakRef<Buffer>[] = [];

function createExchange(): SuspectExchange {
  const body = Buffer.alloc(BODY_BYTES);
  bodies.push(new WeakRef(body));
  return {
    req: {method: 'POST', url: '/x'},
    facts: {sharedParts: []},
    service: {name: PLAIN},
    body,
  } as unknown as SuspectExchange;
}

const endpoint = (name: string) =>
  ({record: {id: id<EndpointId>(name), startedAtMs: 1}}) as EndpointState;

test('quarantine: the bodies of suspects are not kept', async () => {
  const quarantine = createQuarantine({
    self: id<HostId>('host-1'),
    others: () => [],
    checkRun: () => Promise.resolve('silent'),
    isReplaced: () => false,
    log: createSilentLogger(),
    onChange: () => {},
  });
  for (let index = 0; index < ENDPOINTS; index++) {
    const state = endpoint(`e${index}`);
    for (let count = 0; count < SUSPECTS; count++)
      quarantine.gaveUp(createExchange(), state, false);
  }
  await new Promise(done => setImmediate(done));
  collectGarbage();
  const kept = bodies.filter(ref => ref.deref() !== undefined);
  assert.equal(kept.length, 0);
});
