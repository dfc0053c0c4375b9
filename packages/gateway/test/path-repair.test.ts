// Guards against streams that are given up although a repair may be granted later, and
// against load that stays on a path which the first stage has refused.
import {createSilentLogger, id, type EndpointId} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {RepairChoice} from '../src/coordination/index.js';
import type {Exchange, ExchangeContext} from '../src/exchange.js';
import {createGatewayMetrics} from '../src/metrics.js';
import {createPathRepair} from '../src/path-repair.js';
import {MODEL, PROFILE} from './harness.js';

const stage = (name: string, from: number): Stage => ({
  endpoint: id<EndpointId>(name),
  address: `${name}:1`,
  from,
  to: from + 40,
});
const OLD = [stage('first', 0), stage('lost', 40)];
const NEW = [stage('first', 0), stage('spare', 40)];

/** A repair whose asks and new paths are answered in turn. */
function startRepair(choices: RepairChoice[], outcomes: string[] = []) {
  const loads: string[] = [];
  const released: number[] = [];
  const metrics = createGatewayMetrics();
  let isEnded = false;
  let hasRecovered = false;
  const context = {
    table: {get: () => undefined, usable: () => []},
    control: {repath: () => Promise.resolve({kind: outcomes.shift()})},
    coordination: {
      held: {release: (grantId: number) => released.push(grantId)},
      localRequest: () => ({exclude: new Set()}),
      askRepair({onGranted}: {onGranted: (stages: readonly Stage[]) => void}) {
        const choice = choices.shift() ?? {kind: 'local' as const};
        if (choice.kind === 'granted') onGranted(choice.stages);
        return Promise.resolve(choice);
      },
    },
    metrics,
    log: createSilentLogger(),
    fence: () => undefined,
  };
  const repair = createPathRepair({
    exchange: {requestId: 'r', service: {name: MODEL}} as unknown as Exchange,
    ctx: context as unknown as ExchangeContext,
    profile: PROFILE,
    load: {
      start: () => {},
      move: stages => void loads.push(stages[1].endpoint),
      release: () => {},
      grantId: () => 7,
      holds: () => false,
    },
    remainingWork: () => ({
      promptTokens: 100,
      outputTokens: 100,
      exclude: new Set(),
    }),
    isEnded: () => isEnded,
    hasRecovered: () => hasRecovered,
    describe: () => ({events: 3, silentMs: 100, legMs: 200}),
  });
  const end = () => void (isEnded = true);
  const recover = () => void (hasRecovered = true);
  const run = () => repair(OLD, [OLD[1]]);
  return {run, end, recover, loads, released, metrics};
}

const GRANTED: RepairChoice = {kind: 'granted', stages: NEW, readMs: 40};

test('path repair: denials do not use up the repairs of an attempt', async () => {
  const denials = Array.from({length: 9}, () => ({kind: 'denied' as const}));
  const {run, loads, metrics} = startRepair([...denials, GRANTED], ['done']);
  for (let n = 0; n < denials.length; n += 1)
    assert.equal((await run()).kind, 'failed');
  assert.deepEqual(await run(), {kind: 'moved', stages: NEW, readMs: 40});
  assert.deepEqual(loads, ['spare']);
  const {values} = await metrics.repairs.get();
  const counts = values.map(({labels, value}) => [labels.outcome, value]);
  assert.deepEqual(counts, [
    ['denied', 9],
    ['granted', 1],
  ]);
});

test('path repair: the load returns to the old path if the new one is refused', async () => {
  const {run, loads} = startRepair([GRANTED], ['conflict']);
  assert.equal((await run()).kind, 'failed');
  assert.deepEqual(loads, ['spare', 'lost']);
});

// A stage that responds again would be replaced, and the prompt read once more.
test('path repair: a stream that goes on while the host asks stays on its path', async () => {
  const {run, recover, loads} = startRepair([GRANTED], ['done']);
  recover();
  assert.deepEqual(await run(), {kind: 'recovered'});
  assert.deepEqual(loads, ['spare', 'lost']);
});

test('path repair: a grant that arrives after the end is released', async () => {
  const {run, end, loads, released} = startRepair([GRANTED]);
  end();
  assert.equal((await run()).kind, 'ended');
  assert.deepEqual(loads, []);
  assert.deepEqual(released, [7]);
});
