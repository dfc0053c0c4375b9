// Guards against a daemon that takes a broken response of an engine for a status, an order
// or a stream, or that ends by it.
import {
  FailureError,
  id,
  type EndpointId,
  type ModelName,
  type RequestId,
  type WorkspaceId,
} from '@chivewick/common';
import {
  brokenResponses,
  soundResponses,
  writeResponse,
  type BrokenRule,
  type Delivery,
} from '@chivewick/stand-ins';
import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {after, before, test} from 'node:test';
import {isDeepStrictEqual} from 'node:util';
import {createEngineApi, type EngineFrame} from '../src/index.js';

const RULES: readonly BrokenRule[] = [
  'status',
  'status line',
  'field name',
  'field value',
  'content length',
  'transfer coding',
  'chunk',
  'trailer',
  'interim',
  'no content',
  'field lines',
];
const api = createEngineApi({timeoutMs: 5_000});
const FRAMES = [
  {type: 'token', epoch: 1, position: 1, token: 256, text: 'a'},
  {
    type: 'done',
    epoch: 1,
    reason: 'stop',
    usage: {promptTokens: 1, generatedTokens: 1},
  },
];
const STATUS = {fields: '', body: '{"endpoint":"e"}'};
const STREAM = {
  fields: '',
  body: FRAMES.map(frame => `${JSON.stringify(frame)}\n`).join(''),
};

let text = '';
let delivery: Delivery = 'whole';
let address = '';
const engine = createServer(socket => {
  socket.on('error', () => {});
  socket.once('data', () => void writeResponse(socket, text, delivery));
});

before(async () => {
  await new Promise<void>(done => engine.listen(0, '127.0.0.1', done));
  address = `127.0.0.1:${(engine.address() as AddressInfo).port}`;
});
after(async () => {
  await api.close();
  engine.close();
});

/** Reads a stream; returns its frames, and whether it failed. */
async function readStream(): Promise<{frames: EngineFrame[]; failed: boolean}> {
  const frames: EngineFrame[] = [];
  const stream = api.open(
    {
      session: id<RequestId>('s'),
      epoch: 1,
      workspace: id<WorkspaceId>('w'),
      model: id<ModelName>('m'),
      version: 'v1',
      adapter: '',
      priority: 1,
      prompt: 'x',
      generated: [],
      maxTokens: 1,
      route: [{endpoint: id<EndpointId>('e'), address, from: 0, to: 2}],
      requestHash: 'h',
    },
    new AbortController().signal,
  );
  try {
    for await (const frame of stream) frames.push(frame);
  } catch (err) {
    assert.ok(err instanceof FailureError);
    return {frames, failed: true};
  }
  return {frames, failed: frames.at(-1)?.type === 'fault'};
}

for (const pieces of ['whole', 'bytes'] as const) {
  for (const rule of RULES)
    test(`broken responses: no status, order or stream rests on one (${rule}, ${pieces})`, async () => {
      delivery = pieces;
      for (const broken of brokenResponses(STATUS)) {
        if (broken.rule !== rule) continue;
        text = broken.text;
        assert.equal((await api.status(address, 5_000)).ok, false, broken.name);
        const cancel = api.cancel(address, id<RequestId>('s'), 1);
        assert.equal((await cancel).ok, false, broken.name);
      }
      for (const broken of brokenResponses(STREAM)) {
        // The frames before a broken chunk or trailer are whole.
        if (rule === 'chunk' || rule === 'trailer') break;
        if (broken.rule !== rule) continue;
        text = broken.text;
        const {frames, failed} = await readStream();
        assert.ok(failed, broken.name);
        assert.deepEqual(
          frames.filter(({type}) => type !== 'fault'),
          [],
          broken.name,
        );
      }
    });

  test(`sound responses: each form is a status and a stream (${pieces})`, async () => {
    delivery = pieces;
    for (const sound of soundResponses(STATUS)) {
      text = sound.text;
      assert.equal((await api.status(address, 5_000)).ok, true, sound.name);
    }
    for (const sound of soundResponses(STREAM)) {
      text = sound.text;
      const {frames, failed} = await readStream();
      assert.deepEqual([frames.length, failed], [2, false], sound.name);
    }
  });
}

// Guards against an order that counts as accepted by the response to an earlier call.
test('broken responses: a response that arrives after a complete one answers no call', async () => {
  const repeating = createServer(socket => {
    socket.on('error', () => {});
    socket.on('data', bytes => {
      const session = /sessions\/(\w+)/.exec(bytes.toString())![1];
      const body = JSON.stringify({session});
      const response = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
      socket.write(response);
      setTimeout(() => socket.write(response), 2);
    });
  });
  await new Promise<void>(done => repeating.listen(0, '127.0.0.1', done));
  const at = `127.0.0.1:${(repeating.address() as AddressInfo).port}`;
  const wrong: unknown[] = [];
  for (let index = 0; index < 300; index++) {
    const session = id<RequestId>(`s${index}`);
    const found = await api.session(at, session, 5_000);
    if (!found.ok || !isDeepStrictEqual(found.value, {session}))
      wrong.push(found);
  }
  repeating.close();
  assert.deepEqual(wrong, []);
});
