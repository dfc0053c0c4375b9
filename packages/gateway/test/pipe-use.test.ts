// Guards against paths that cross between failure domains for a small gain while
// the pipes between them are full of prompts.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPipeUse, crossingMs, transferMs} from '../src/pipe-use.js';
import {PROFILE} from './world.js';

const profile = {...PROFILE, pipeMbps: 10_400};
const STREAM = {promptTokens: 774, answerTokens: 200, delayMs: 0.75};
const STREAMS_PER_S = 212;
const HOSTS = 74;

/** Mean use of one pipe in the second half minute of crossing streams. */
function meanBusy(crossingsPerS: number): number {
  let nowMs = 0;
  const pipes = createPipeUse(
    () => HOSTS,
    () => nowMs,
  );
  const everyMs = (1_000 * HOSTS) / crossingsPerS;
  const seen: number[] = [];
  let nextMs = 0;
  for (; nowMs < 60_000; nowMs += 100) {
    for (; nextMs <= nowMs; nextMs += everyMs)
      pipes.note(1, 0, transferMs(profile, 974));
    if (nowMs >= 30_000) seen.push(pipes.busyPart(0, 1));
  }
  return seen.reduce((sum, part) => sum + part, 0) / seen.length;
}

test('pipes: their use is that of all hosts, in both directions', () => {
  const part = meanBusy(10);
  const wanted = (10 * transferMs(profile, 974)) / 1_000;
  assert.ok(Math.abs(part - wanted) < 0.1 * wanted, `${part}, ${wanted}`);
  assert.ok(meanBusy(STREAMS_PER_S) > 0.94);
});

test('pipes: their use fades when nothing crosses', () => {
  let nowMs = 0;
  const pipes = createPipeUse(
    () => HOSTS,
    () => nowMs,
  );
  pipes.note(0, 1, 5);
  const before = pipes.busyPart(0, 1);
  nowMs += 60_000;
  assert.ok(pipes.busyPart(0, 1) < 0.05 * before);
  assert.equal(pipes.busyPart(0, 2), 0);
});

test('pipes: a crossing costs little on an idle one and seconds on a full one', () => {
  const idleMs = crossingMs(profile, {...STREAM, busyPart: 0});
  const fullMs = crossingMs(profile, {...STREAM, busyPart: 0.9});
  assert.ok(idleMs < 250, `${idleMs}`);
  assert.ok(fullMs > 20 * idleMs, `${fullMs}`);
});
