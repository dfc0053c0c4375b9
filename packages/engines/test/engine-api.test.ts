import assert from 'node:assert/strict';
import {after, before, beforeEach, test} from 'node:test';
import {
  FailureError,
  id,
  type EndpointId,
  type ModelName,
  type RequestId,
  type WorkspaceId,
} from '@chivewick/common';
import {
  createEngineStandIn,
  expectedTokens,
  type EngineStandIn,
} from '@chivewick/stand-ins';
import {
  createEngineApi,
  type DesiredEngine,
  type EngineFrame,
  type Route,
  type SessionRequest,
} from '../src/index.js';

const MODEL = id<ModelName>('rota-draft');
const NEVER = new AbortController().signal;
const api = createEngineApi({timeoutMs: 2000});
let heads: EngineStandIn[];
let tail: EngineStandIn;
let sessions = 0;

before(async () => {
  const cost = {decodeUs: 1000};
  heads = await Promise.all(
    ['h0', 'h1'].map(endpoint =>
      createEngineStandIn({endpoint, from: 0, to: 2, kvTotal: 400, ...cost}),
    ),
  );
  tail = await createEngineStandIn({endpoint: 't', from: 2, to: 4, ...cost});
});
after(async () => {
  await Promise.all([...heads, tail].map(engine => engine.close()));
  await api.close();
});
beforeEach(() => {
  sessions += 1;
});

function request(
  fields: Partial<SessionRequest> = {},
  head = 0,
): SessionRequest {
  const stage = (engine: EngineStandIn, from: number) => ({
    endpoint: id<EndpointId>(engine.endpoint),
    address: engine.address,
    from,
    to: from + 2,
  });
  const route: Route = [stage(heads[head], 0), stage(tail, 2)];
  return {
    session: id<RequestId>(`session-${sessions}`),
    epoch: 1,
    workspace: id<WorkspaceId>('w'),
    model: MODEL,
    version: 'v1',
    adapter: '',
    priority: 1,
    prompt: 'hello',
    generated: [],
    maxTokens: 6,
    route,
    requestHash: '',
    ...fields,
  };
}

async function frames(stream: AsyncIterable<EngineFrame>) {
  const all: EngineFrame[] = [];
  for await (const frame of stream) all.push(frame);
  return all;
}

function expectedFor(req: SessionRequest): number[] {
  return expectedTokens({...req, layers: 4});
}

// Guards against wrong tokens or usage in a session over two stages.
test('open: yields the tokens of the route, then the usage', async () => {
  const req = request();
  const all = await frames(api.open(req, NEVER));
  const tokens = all.flatMap(f => (f.type === 'token' ? [f.token] : []));
  assert.deepEqual(tokens, expectedFor(req));
  const last = all.at(-1);
  assert.deepEqual(last?.type === 'done' && last.usage, {
    promptTokens: 5,
    generatedTokens: 6,
  });
});

// Guards against a recovery that repeats or skips tokens.
test('open: a later epoch continues after the tokens that it sends', async () => {
  const req = request();
  const generated = expectedFor(req).slice(0, 4);
  const all = await frames(api.open({...req, epoch: 3, generated}, NEVER));
  const tokens = all.flatMap(f => (f.type === 'token' ? [f.token] : []));
  assert.deepEqual(tokens, expectedFor(req).slice(4));
});

const REFUSED: Array<{
  name: string;
  fields: Partial<SessionRequest>;
  kind: string;
}> = [
  {name: 'another version', fields: {version: 'v2'}, kind: 'not_loaded'},
  {name: 'an unknown adapter', fields: {adapter: 'x'}, kind: 'not_loaded'},
  {
    name: 'a prompt over the KV capacity',
    fields: {prompt: 'x'.repeat(500)},
    kind: 'overloaded',
  },
];

// Guards against a refusal that is reported as a failure of another kind.
for (const {name, fields, kind} of REFUSED) {
  test(`open: ${name} is refused as ${kind}`, async () => {
    const [frame] = await frames(api.open(request(fields), NEVER));
    assert.equal(frame.type === 'fault' && frame.kind, kind);
  });
}

// Guards invariant I1 against a host that was paused and resumes with an outdated
// epoch.
test('epochs: an old head stops when another head has a newer epoch', async () => {
  const req = request({maxTokens: 60});
  const old = frames(api.open(req, NEVER));
  const state = () => api.session(tail.address, req.session, 500);
  for (let s = await state(); !s.ok || s.value.position < 8;) s = await state();
  const newer = {...request({maxTokens: 60}, 1), epoch: 2};
  const current = await frames(api.open(newer, NEVER));
  const last = (await old).at(-1)!;
  assert.equal(last.type === 'fault' && last.kind, 'stale_epoch');
  const tokens = current.flatMap(f => (f.type === 'token' ? [f.token] : []));
  assert.deepEqual(tokens, expectedFor(newer));
});

// Guards invariant I1 if an engine computed more tokens than the caller received,
// and the next epoch has other tokens.
test('epochs: KV of tokens that the next epoch does not have is not used', async () => {
  const generated = [300, 301, 302, 303];
  const fresh = {...request({prompt: 'abc', generated}), epoch: 2};
  const expectedFrames = await frames(api.open(fresh, NEVER));
  const session = id<RequestId>(`${fresh.session}-again`);
  const before = {...fresh, session, epoch: 1, generated: [], maxTokens: 40};
  const first = api.open(before, NEVER)[Symbol.asyncIterator]();
  for (let count = 0; count < 8; count += 1) await first.next();
  const again = await frames(api.open({...fresh, session}, NEVER));
  assert.deepEqual(again, expectedFrames);
  await first.return?.(undefined);
});

// Guards against two heads with the same epoch.
test('epochs: an epoch that was already used is refused', async () => {
  const req = request();
  await frames(api.open({...req, epoch: 2}, NEVER));
  for (const epoch of [1, 2]) {
    const [frame] = await frames(api.open({...req, epoch}, NEVER));
    assert.equal(frame.type === 'fault' && frame.kind, 'stale_epoch');
    const body = {epoch, workspace: req.workspace, fromPosition: 0};
    const {address} = heads[0];
    const [other] = await frames(api.attach(address, req.session, body, NEVER));
    assert.equal(other.type === 'fault' && other.kind, 'stale_epoch');
  }
  const cancelled = await api.cancel(heads[0].address, req.session, 1);
  assert.equal(!cancelled.ok && cancelled.err.kind, 'version_mismatch');
});

// Guards against a broken stream that looks complete to the reader.
test('open: a broken connection throws a failure', async () => {
  const req = request({maxTokens: 60}, 1);
  const stream = api.open(req, NEVER)[Symbol.asyncIterator]();
  await stream.next();
  heads[1].crash();
  const rest = async () => {
    while (!(await stream.next()).done);
  };
  await assert.rejects(rest, (err: unknown) => {
    return (
      err instanceof FailureError && err.failure.kind === 'endpoint_failed'
    );
  });
  const status = await api.status(heads[1].address, 500);
  assert.equal(!status.ok && status.err.kind, 'endpoint_failed');
  await heads[1].restart();
});

// Guards against a poll that waits for a frozen engine without a limit.
test('status: a frozen engine exceeds the time limit', async () => {
  heads[1].setFaults({freeze: true});
  const frozen = await api.status(heads[1].address, 30);
  assert.equal(!frozen.ok && frozen.err.kind, 'deadline_exceeded');
  heads[1].setFaults({freeze: false, leaving: true});
  const status = await api.status(heads[1].address, 2000);
  assert.equal(status.ok && status.value.state, 'leaving');
  heads[1].setFaults({leaving: false});
});

const DESIRED: DesiredEngine = {
  model: MODEL,
  version: 'v2',
  layers: {from: 0, to: 2},
  adapters: [],
  role: 'serve',
};

// Guards against applying an outdated order; engines without fencing can't refuse it.
for (const fencing of [true, false]) {
  test(`orders: an old fence is ${fencing ? 'refused' : 'applied'}`, async () => {
    const engine = await createEngineStandIn({endpoint: 'o', fencing});
    try {
      const {address} = engine;
      const newer = await api.order(address, {fence: 5, desired: DESIRED});
      assert.equal(newer.ok && newer.value.version, 'v2');
      const old = {fence: 4, desired: {...DESIRED, version: 'v1'}};
      const answer = await api.order(address, old);
      if (fencing)
        assert.equal(!answer.ok && answer.err.kind, 'version_mismatch');
      else assert.equal(answer.ok && answer.value.version, 'v1');
    } finally {
      await engine.close();
    }
  });
}
