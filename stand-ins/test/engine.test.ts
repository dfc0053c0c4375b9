// Guards against a stand-in whose output or faults would let tests of other
// packages pass for the wrong reason.
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {after, before, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {
  blockIds,
  createEngineStandIn,
  expectedText,
  expectedTokens,
  promptTokens,
  type EngineStandIn,
} from '../src/index.js';

const CHOICE = {model: 'm', version: 'v1', adapter: ''};
const PROMPT = 'the same long start of several prompts '.repeat(4);
let engine: EngineStandIn;
let sessions = 0;

before(async () => {
  engine = await createEngineStandIn({
    ...CHOICE,
    endpoint: 'e',
    to: 4,
    cacheTokens: 256,
    adapters: ['a'],
  });
});
after(() => engine.close());

async function get(path: string, address = engine.address) {
  const res = await request(`http://${address}${path}`);
  return (await res.body.json()) as Record<string, never>;
}

async function post(path: string, body: object, address = engine.address) {
  const res = await request(`http://${address}${path}`, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  return {status: res.statusCode, text: await res.body.text()};
}

async function run(prompt: string, maxTokens = 4) {
  sessions += 1;
  const route = [{endpoint: 'e', address: engine.address, from: 0, to: 4}];
  const body = {...CHOICE, session: `s${sessions}`, epoch: 1, workspace: 'w'};
  const more = {priority: 1, prompt, generated: [], maxTokens, route};
  const {text} = await post('/engine/sessions', {...body, ...more});
  const frames = text
    .trim()
    .split('\n')
    .map(line => JSON.parse(line));
  return frames
    .filter(({type}) => type === 'token')
    .map(f => f.text)
    .join('');
}

test('model: every input changes the text', () => {
  const base = {...CHOICE, layers: 4, prompt: 'ab', maxTokens: 8};
  const texts = [
    base,
    {...base, model: 'n'},
    {...base, version: 'v2'},
    {...base, adapter: 'a'},
    {...base, layers: 5},
    {...base, prompt: 'ba'},
  ].map(expectedText);
  assert.equal(new Set(texts).size, texts.length);
  assert.ok(expectedTokens(base).every(token => token >= 256));
  assert.match(texts[0], /^( [a-z]+-[a-z]+){8}$/);
});

test('prefix cache: a second prompt with the same start costs less', async () => {
  const beforeFirst = engine.computed();
  await run(`${PROMPT}one`);
  const beforeSecond = engine.computed();
  const text = await run(`${PROMPT}two`);
  assert.ok(
    engine.computed() - beforeSecond < (beforeSecond - beforeFirst) / 2,
  );
  const expected = {...CHOICE, layers: 4, prompt: `${PROMPT}two`, maxTokens: 4};
  assert.equal(text, expectedText(expected));
});

interface CacheEvents {
  events: Array<{seq: number; kind: string; blocks: string[]}>;
  next: number;
}

async function cacheEvents(after: number): Promise<CacheEvents> {
  const response: unknown = await get(`/engine/events?after=${after}`);
  return response as CacheEvents;
}

test('cache events: stored and evicted blocks, with lag and gaps', async () => {
  const {next} = await cacheEvents(0);
  const prompts = ['x', 'y', 'z'].map(char => char.repeat(200));
  for (const prompt of prompts) await run(prompt, 1);
  const scope = {...CHOICE, workspace: 'w'};
  const [block] = blockIds(scope, promptTokens(prompts[0]));
  const {events} = await cacheEvents(next);
  const kinds = events.flatMap(({kind, blocks}) =>
    blocks.includes(block) ? [kind] : [],
  );
  assert.deepEqual(kinds, ['stored', 'evicted']);
  engine.setFaults({eventGapEvery: 2});
  const lastSeq = events.at(-1)!.seq;
  for (const prompt of prompts) await run(prompt, 1);
  const seqs = (await cacheEvents(lastSeq)).events.map(({seq}) => seq);
  assert.ok(seqs.length > 0 && seqs.every(seq => seq % 2 === 1));
  engine.setFaults({eventGapEvery: 0, eventLagMs: 3_600_000});
  assert.deepEqual((await cacheEvents(0)).events, []);
  engine.setFaults({eventLagMs: 0});
});

test('load reports lag behind the load', async () => {
  engine.setFaults({reportLagMs: 3_600_000});
  const {load} = (await get('/engine/status')) as unknown as {
    load: {ageMs: number; kvFree: number; kvTotal: number};
  };
  assert.equal(load.ageMs, 3_600_000);
  engine.setFaults({reportLagMs: 0});
});

test('faults: unknown names and wrong types are refused', async () => {
  for (const body of [{freese: true}, {slow: 'very'}])
    assert.equal((await post('/faults', body)).status, 400);
  assert.equal((await get('/faults')).slow, 1);
});

test('main: runs as its own process and exits on the crash fault', async () => {
  const main = fileURLToPath(new URL('../src/engine/main.js', import.meta.url));
  const child = spawn(process.execPath, [main, '--endpoint', 'p', '--to', '4']);
  const [line] = (await once(createInterface(child.stdout), 'line')) as [
    string,
  ];
  const {ready, address} = JSON.parse(line);
  assert.equal(ready, true);
  assert.equal((await get('/engine/status', address)).endpoint, 'p');
  const exited = once(child, 'exit');
  await post('/faults', {crash: true}, address).catch(() => {});
  assert.deepEqual(await exited, [1, null]);
});
