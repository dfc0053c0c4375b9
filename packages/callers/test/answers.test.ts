import {failure, readLines} from '@chivewick/common';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {request} from 'undici';
import type {ModelEvent} from '../src/index.js';
import {createStopFilter} from '../src/models/stop-filter.js';
import {fakePorts, KEY, listen, threeTokens} from './support.js';

const headers = {
  authorization: `Bearer ${KEY}`,
  'content-type': 'application/json',
};

async function post(url: string, path: string, body: object) {
  const res = await request(`${url}${path}`, {
    method: 'POST',
    headers,
    body: JSON.stringify(body),
  });
  return {status: res.statusCode, text: await res.body.text()};
}

const CHAT = {model: 'rota', messages: [{role: 'user', content: 'hello'}]};

test('callers: a completion without streaming has text, finish reason and usage', async t => {
  const server = await listen(fakePorts().ports);
  t.after(() => server.close());
  const body = {model: 'rota', prompt: 'hello'};
  const {status, text} = await post(server.url, '/v1/completions', body);
  const completion = JSON.parse(text) as {
    choices: {text: string; finish_reason: string}[];
    usage: object;
  };
  assert.equal(status, 200);
  assert.equal(completion.choices[0].text, 'lilies and roses');
  assert.equal(completion.choices[0].finish_reason, 'length');
  assert.deepEqual(completion.usage, {
    prompt_tokens: 5,
    completion_tokens: 3,
    total_tokens: 8,
  });
});

test('callers: a chat stream ends with usage and [DONE], and every token has an id', async t => {
  const server = await listen(fakePorts().ports);
  t.after(() => server.close());
  const {text} = await post(server.url, '/v1/chat/completions', {
    ...CHAT,
    stream: true,
    stream_options: {include_usage: true},
  });
  const events = text.trim().split('\n\n');
  assert.equal(events.at(-1), 'data: [DONE]');
  assert.match(events.at(-2)!, /"total_tokens":8/);
  assert.match(events.at(-3)!, /"finish_reason":"length"/);
  assert.match(events[0], /^id: c\.r:0\ndata: .*"role":"assistant"/);
  assert.equal(events.length, 6);
});

test('callers: a stop sequence that spans several tokens truncates the text', async t => {
  const {ports, seen} = fakePorts();
  const server = await listen(ports);
  t.after(() => server.close());
  const body = {model: 'rota', prompt: 'a', stop: 's and r'};
  const {text} = await post(server.url, '/v1/completions', body);
  assert.match(text, /"text":"lilie"/);
  assert.match(text, /"finish_reason":"stop"/);
  assert.equal(seen.permits, 0);
  assert.equal(seen.signals[0].aborted, true);
});

test('stop filter: text that matches only the start of a stop sequence is not lost', () => {
  const filter = createStopFilter(['END']);
  assert.deepEqual(filter.push('a E'), {text: 'a ', stopped: false});
  assert.deepEqual(filter.push('N'), {text: '', stopped: false});
  assert.deepEqual(filter.push('x'), {text: 'ENx', stopped: false});
  filter.push('EN');
  assert.equal(filter.flush(), 'EN');
});

test('callers: a failure before the first token gets the HTTP status of its error', async t => {
  const {ports} = fakePorts(async function* (): AsyncIterable<ModelEvent> {
    yield {type: 'failed', err: failure('no_route', 'nothing')};
  });
  const server = await listen(ports);
  t.after(() => server.close());
  const {status} = await post(server.url, '/v1/chat/completions', {
    ...CHAT,
    stream: true,
  });
  assert.equal(status, 503);
});

test('callers: a failure after a token ends the stream without [DONE]', async t => {
  const {ports} = fakePorts(async function* (): AsyncIterable<ModelEvent> {
    for await (const event of threeTokens()) {
      if (event.type === 'token') yield event;
      break;
    }
    yield {type: 'failed', err: failure('endpoint_failed', 'gone')};
  });
  const server = await listen(ports);
  t.after(() => server.close());
  const {text} = await post(server.url, '/v1/completions', {
    model: 'rota',
    prompt: 'a',
    stream: true,
  });
  assert.match(text, /"kind":"endpoint_failed"/);
  assert.doesNotMatch(text, /\[DONE\]/);
});

test('callers: a disconnected caller releases its permit and slot and aborts its pipeline', async t => {
  const {ports, seen} = fakePorts(async function* (signal) {
    yield {type: 'token', id: 'r:0', position: 5, token: 300, text: 'a'};
    if (!signal.aborted) await once(signal, 'abort');
  });
  const server = await listen(ports);
  t.after(() => server.close());
  const gone = new AbortController();
  const res = await request(`${server.url}/v1/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({model: 'rota', prompt: 'a', stream: true}),
    signal: gone.signal,
  });
  res.body.once('error', () => {});
  await once(res.body, 'data');
  gone.abort();
  await once(seen.signals[0], 'abort');
  while (seen.permits + seen.slots > 0)
    await new Promise(r => setTimeout(r, 5));
});

test('callers: lookups are sent as repeatable calls, keyed calls through the ledger', async t => {
  const {ports, seen} = fakePorts();
  const server = await listen(ports);
  t.after(() => server.close());
  const base = `${server.url}/v1/services/bookings`;
  await (await request(`${base}/status?week=2`, {headers})).body.dump();
  const keyed = {...headers, 'idempotency-key': 'k1'};
  const posted = await request(`${base}/slots`, {
    method: 'POST',
    headers: keyed,
    body: '{}',
  });
  await posted.body.dump();
  assert.deepEqual(seen.calls, [
    'lookup GET /status?week=2',
    'once k1 as san-fermin:k1',
  ]);
});

test('callers: a slow reader applies backpressure and receives the complete stream', async t => {
  const total = 20_000;
  const text = `${'lily '.repeat(400)}`;
  let produced = 0;
  const {ports} = fakePorts(async function* (): AsyncIterable<ModelEvent> {
    for (; produced < total; produced++)
      yield {
        type: 'token',
        id: `r:${produced}`,
        position: 5 + produced,
        token: 300,
        text,
      };
    const usage = {promptTokens: 5, generatedTokens: total};
    yield {type: 'done', reason: 'length', usage};
  });
  const server = await listen(ports);
  t.after(() => server.close());
  const res = await request(`${server.url}/v1/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({model: 'rota', prompt: 'a', stream: true}),
  });
  // The body is not read yet: token production stops once the buffers are full.
  let before = -1;
  while (produced !== before) {
    before = produced;
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  assert.ok(produced < total, 'the whole stream was buffered');
  let tokens = 0;
  let last = '';
  for await (const line of readLines(res.body)) {
    if (line === '') continue;
    if (line.startsWith('id: ')) tokens += 1;
    last = line;
  }
  assert.equal(tokens, total);
  assert.equal(last, 'data: [DONE]');
});
