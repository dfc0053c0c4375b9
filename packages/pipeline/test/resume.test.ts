import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fail} from '@chivewick/common';
import type {EngineOptions} from '@chivewick/stand-ins';
import {
  parseEventId,
  type PipelineEvent,
  type PipelineRequest,
} from '../src/index.js';
import {
  collect,
  createFleet,
  grantOf,
  makeRequest,
  NEVER,
  undisturbedTokens,
  type Fleet,
} from './fleet.js';

const ENGINE = {decodeUs: 500, prefillUs: 20};

/** The host never cancels a session within a test, so sessions outlive it. */
const NO_CANCEL = {resumeWindowMs: 3_600_000};

async function withFleet(
  check: (fleet: Fleet) => Promise<void>,
  engine: Partial<EngineOptions> = {},
) {
  const fleet = await createFleet({engine: {...ENGINE, ...engine}});
  try {
    await check(fleet);
  } finally {
    await fleet.close();
  }
}

/** Reads `count` tokens on a first host and then simulates its loss. */
async function readThenLoseHost(
  fleet: Fleet,
  request: PipelineRequest,
  count: number,
  onToken: (count: number, eventId: string) => void = () => {},
  host = fleet.host(NO_CANCEL),
) {
  const lost = new AbortController();
  const ids: string[] = [];
  const tokens: number[] = [];
  const events = host.run(request, lost.signal);
  for await (const event of events) {
    if (event.type !== 'token') break;
    ids.push(event.id);
    tokens.push(event.token);
    onToken(tokens.length, event.id);
    if (tokens.length === count) lost.abort();
  }
  return {ids, tokens};
}

function errorKind(event: PipelineEvent | undefined): string | undefined {
  return event?.type === 'failed' ? event.err.kind : event?.type;
}

// Guards against losing a response together with the host that served it.
test('resume: another host continues after the last event', () =>
  withFleet(async fleet => {
    const request = makeRequest({maxTokens: 30});
    const first = await readThenLoseHost(fleet, request, 7);
    const {id, grant} = request;
    const second = await collect(
      fleet.host().resume(first.ids.at(-1)!, {id, grant}, NEVER),
    );
    assert.equal(errorKind(second.last), 'done');
    assert.deepEqual(
      [...first.tokens, ...second.tokens],
      undisturbedTokens(request),
    );
  }));

for (const stage of [0, 1, 2]) {
  // Guards against a resumed stream without the tokens that a recovery needs.
  test(`resume: the new host recovers when stage ${stage} crashes later`, () =>
    withFleet(async fleet => {
      const request = makeRequest({maxTokens: 40, prompt: 'año 경주 rota'});
      const first = await readThenLoseHost(fleet, request, 4);
      const {id, grant} = request;
      const second = await collect(
        fleet.host().resume(first.ids.at(-1)!, {id, grant}, NEVER),
        count => {
          if (count === 2) fleet.engines[stage][0].crash();
        },
      );
      const tokens = [...first.tokens, ...second.tokens];
      assert.deepEqual(tokens, undisturbedTokens(request));
    }));
}

function headOf(eventId: string): string | undefined {
  return parseEventId(eventId)?.head;
}

// Guard against resuming from a replaced head, whose tokens differ.
const HEAD_CHANGES = [
  {name: 'killed', faults: {crash: true}},
  {name: 'frozen', faults: {freeze: true}},
  {name: 'slow and cancelled', faults: {slow: 400}},
  {
    name: 'slow, and did not get its cancel',
    faults: {slow: 400},
    lostCancel: true,
  },
];

for (const {name, faults, lostCancel = false} of HEAD_CHANGES) {
  test(`resume: an event id of a head that was ${name} finds the new head`, () =>
    withFleet(
      async fleet => {
        const request = makeRequest({maxTokens: 40});
        const onToken = (count: number, eventId: string) => {
          if (count !== 4) return;
          const head = fleet.all.find(
            ({endpoint}) => endpoint === headOf(eventId),
          );
          head!.setFaults(faults);
        };
        const cancel = async () => fail('endpoint_failed', 'lost');
        const host = fleet.host(NO_CANCEL, lostCancel ? {cancel} : {});
        const first = await readThenLoseHost(fleet, request, 9, onToken, host);
        const {ids, tokens} = first;
        assert.notEqual(headOf(ids[3]), headOf(ids[8]));
        const {id, grant} = request;
        const second = await collect(
          fleet.host().resume(ids[3], {id, grant}, NEVER),
        );
        // Each epoch samples different tokens: only the log of the new head has
        // those that the first host delivered after the change.
        assert.deepEqual(second.tokens.slice(0, 5), tokens.slice(4));
        assert.equal(second.tokens.length, 36, JSON.stringify(second.last));
      },
      {sampleByEpoch: true},
    ));
}

test('resume: a completed response can be read to its end', () =>
  withFleet(async fleet => {
    const request = makeRequest();
    const ids: string[] = [];
    for await (const event of fleet.pipeline.run(request, NEVER))
      if (event.type === 'token') ids.push(event.id);
    const {id, grant} = request;
    const again = await collect(
      fleet.host().resume(ids[3], {id, grant}, NEVER),
    );
    assert.deepEqual(again.tokens, undisturbedTokens(request).slice(4));
    assert.equal(errorKind(again.last), 'done');
  }));

// Guards against two hosts that serve the same stream.
test('resume: the earlier host stops when another host takes over', () =>
  withFleet(async fleet => {
    const request = makeRequest({maxTokens: 40});
    const {id, grant} = request;
    let second: Promise<Awaited<ReturnType<typeof collect>>> | undefined;
    const ids: string[] = [];
    const first = fleet.host().run(request, NEVER);
    let last: PipelineEvent | undefined;
    for await (const event of first) {
      last = event;
      if (event.type === 'token') ids.push(event.id);
      if (ids.length === 5 && second === undefined)
        second = collect(fleet.host().resume(ids[4], {id, grant}, NEVER));
    }
    assert.equal(errorKind(last), 'gone');
    const got = await second!;
    assert.deepEqual(got.tokens, undisturbedTokens(request).slice(5));
  }));

// Guard against reading the stream of another workspace.
test('resume: another workspace is refused', () =>
  withFleet(async fleet => {
    const request = makeRequest({maxTokens: 30});
    const {ids} = await readThenLoseHost(fleet, request, 3);
    const otherWorkspace = {id: request.id, grant: grantOf('another')};
    const got = await collect(
      fleet.host().resume(ids[2], otherWorkspace, NEVER),
    );
    assert.deepEqual(got.tokens, []);
    assert.equal(errorKind(got.last), 'forbidden');
  }));

test('resume: an engine refuses to attach another workspace', () =>
  withFleet(async fleet => {
    const request = makeRequest({maxTokens: 30});
    await readThenLoseHost(fleet, request, 3);
    const body = {
      epoch: 2,
      workspace: grantOf('another').workspace,
      fromPosition: 0,
    };
    const [[head]] = fleet.engines;
    const frames = fleet.api.attach(head.address, request.id, body, NEVER);
    for await (const frame of frames)
      assert.equal(frame.type === 'fault' && frame.kind, 'forbidden');
  }));

const REFUSED = [
  {
    name: 'a string that is not an event id',
    event: 'nonsense',
    kind: 'invalid_request',
  },
  {
    name: 'an event id of another request',
    event: 'other/s0r0/1/9',
    kind: 'invalid_request',
  },
  {name: 'a session that no engine holds', event: '', kind: 'gone'},
];

for (const {name, event, kind} of REFUSED) {
  test(`resume: ${name} fails with ${kind}`, () =>
    withFleet(async fleet => {
      const {id, grant} = makeRequest();
      const eventId = event === '' ? `${id}/s0r0/1/9` : event;
      const got = await collect(
        fleet.host().resume(eventId, {id, grant}, NEVER),
      );
      assert.equal(errorKind(got.last), kind);
    }));
}

// Guards against the delayed cancel of the first host ending the resumed stream.
test('cancel: a host does not cancel a session that another host resumed', () =>
  withFleet(async fleet => {
    const request = makeRequest({maxTokens: 60});
    const {id, grant} = request;
    const caller = new AbortController();
    const first = fleet.host(NO_CANCEL);
    let lastId = '';
    const tokens: number[] = [];
    for await (const event of first.run(request, caller.signal)) {
      if (event.type !== 'token') break;
      lastId = event.id;
      tokens.push(event.token);
      if (tokens.length === 4) caller.abort();
    }
    const second = await collect(
      fleet.host().resume(lastId, {id, grant}, NEVER),
      async count => {
        if (count === 2) await first.close();
      },
    );
    assert.deepEqual([...tokens, ...second.tokens], undisturbedTokens(request));
  }));
