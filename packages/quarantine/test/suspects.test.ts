import {id, type EndpointId, type HostId} from '@chivewick/common';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSuspectTable, type Crash} from '../src/suspects.js';

const crashAt = (endpoint: string, rest: Partial<Crash>): Crash => ({
  endpoint: id<EndpointId>(endpoint),
  host: id<HostId>('nav-a-1'),
  at: 0,
  trial: true,
  ...rest,
});

test('suspects: a request without a token is banned after one crash in a trial', () => {
  const suspects = createSuspectTable(() => 0);
  suspects.recordCrash('bad', crashAt('e1', {trial: false}));
  assert.notEqual(suspects.recordCrash('bad', crashAt('e2', {})), undefined);
});

test('suspects: a stream that produced tokens is not banned when two endpoints fail in succession', () => {
  const suspects = createSuspectTable(() => 0);
  const progressed = true;
  suspects.recordCrash('stream', crashAt('e1', {trial: false, progressed}));
  const second = suspects.recordCrash('stream', crashAt('e2', {progressed}));
  assert.equal(second, undefined);
  const third = suspects.recordCrash('stream', crashAt('e3', {progressed}));
  assert.notEqual(third, undefined);
});
