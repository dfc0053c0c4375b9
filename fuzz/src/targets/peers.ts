import {once} from 'node:events';
import {id, type Firm, type HostId} from '@chivewick/common';
import {createPeers, type ListeningPeers} from '@chivewick/peers';
import fc from 'fast-check';
import {nextTurn} from '../core/escapes.js';
import {hostileKey, jsonValue, mutatedJson} from '../core/json-values.js';
import {latin1, mutated} from '../core/mutate.js';
import type {Target} from '../core/target.js';
import {openWire, proveIdentity, type PeerWire} from './peers-wire.js';

/** One frame; long and nested ones are stored as sizes to keep inputs small. */
type Frame =
  | {readonly kind: 'text'; readonly text: string}
  | {readonly kind: 'long'; readonly length: number}
  | {readonly kind: 'nested'; readonly depth: number; readonly closed: boolean};

/** What one connection sends. */
interface PeersInput {
  /** Whether the connection sends the hello and proves the secret first. */
  readonly proved: boolean;
  readonly frames: readonly Frame[];
  /** Whether the newline of the last frame is missing. */
  readonly cut: boolean;
}

const FIRM = id<Firm>('diocese');
const SECRET = 'a shared secret of the firm';
const SELF = id<HostId>('nav-a-1');
const GOOD = id<HostId>('nav-b-1');
const STRANGER = id<HostId>('nav-c-1');
const ECHO = 'test.echo';
const TIMEOUT = {timeoutMs: 5_000};
/** Turns of the event loop in which the host handles the frames. */
const HANDLING_TURNS = 20;

const hello = {
  firm: FIRM,
  host: STRANGER,
  incarnation: 1,
  nonce: '0'.repeat(32),
};
const rpc = (method: unknown, params: unknown) => ({
  jsonrpc: '2.0',
  id: 1,
  method,
  params,
});
const EXAMPLES: readonly unknown[] = [
  rpc(ECHO, {n: 1}),
  rpc('peers.hello', hello),
  rpc('peers.prove', {proof: '0'.repeat(64)}),
  {jsonrpc: '2.0', method: ECHO, params: {n: 1}},
  {jsonrpc: '2.0', id: 1, result: {n: 1}},
  {jsonrpc: '2.0', id: 1, error: {code: -32001, message: 'late'}},
  [rpc(ECHO, {n: 1}), rpc(ECHO, {n: 2})],
];

const text = fc.oneof(
  fc.constantFrom(...EXAMPLES).map(value => JSON.stringify(value)),
  mutatedJson(fc.constantFrom(...EXAMPLES)).map(value => JSON.stringify(value)),
  mutated(fc.constantFrom(...EXAMPLES).map(value => JSON.stringify(value))),
  jsonValue.map(value => JSON.stringify(value)),
  fc.constantFrom('', 'null', 'true', '0', '""', '[]', '{}'),
  hostileKey.map(method => JSON.stringify(rpc(method, {}))),
  latin1(64),
);
const frame: fc.Arbitrary<Frame> = fc.oneof(
  {
    weight: 8,
    arbitrary: text.map(value => ({kind: 'text' as const, text: value})),
  },
  fc.record({
    kind: fc.constant('long' as const),
    length: fc.constantFrom(4_095, 4_096, 4_097, 70_000, 4_194_305),
  }),
  fc.record({
    kind: fc.constant('nested' as const),
    depth: fc.constantFrom(10, 1_000, 4_000, 20_000, 200_000),
    closed: fc.boolean(),
  }),
);

/** The peer port of a host that also serves a well-behaved peer. */
export const peersTarget: Target<PeersInput> = {
  name: 'peers',
  property:
    'Whatever a connection sends, no exception escapes, handlers run for it only after it proved its hello, every response is a JSON-RPC message, and a well-behaved peer still gets its responses.',
  inputs: fc.record({
    proved: fc.boolean(),
    frames: fc.array(frame, {minLength: 1, maxLength: 4}),
    cut: fc.boolean(),
  }),
  runsInTests: 300,
  async open() {
    const calls: HostId[] = [];
    const self = await start(SELF);
    const good = await start(GOOD);
    good.setAddress(SELF, self.address);
    self.handle(ECHO, (params, from) => {
      calls.push(from);
      return {params};
    });
    let incarnation = 0;
    return {
      async check(input) {
        calls.length = 0;
        incarnation += 1;
        const wire = await openWire(self.address);
        try {
          if (input.proved) await prove(wire, incarnation);
          await sendAll(wire, input);
        } finally {
          await close(wire);
        }
        checkCalls(calls, input.proved);
        wire.lines.forEach(checkLine);
        await checkGoodPeer(good, incarnation);
      },
      async close() {
        await Promise.all([self.close(), good.close()]);
      },
    };
  },
};

function start(self: HostId): Promise<ListeningPeers> {
  return createPeers({
    firm: FIRM,
    self,
    listen: '127.0.0.1:0',
    addresses: new Map(),
    secret: SECRET,
  });
}

function prove(wire: PeerWire, incarnation: number): Promise<void> {
  const identity = {firm: FIRM, host: STRANGER, incarnation};
  return proveIdentity(wire, {...identity, secret: SECRET});
}

async function sendAll(wire: PeerWire, input: PeersInput): Promise<void> {
  const frames = input.frames.map(formatFrame);
  wire.send(`${frames.join('\n')}${input.cut ? '' : '\n'}`);
  for (let turn = 0; turn < HANDLING_TURNS; turn += 1) await nextTurn();
}

async function close({socket}: PeerWire): Promise<void> {
  socket.end();
  if (!socket.closed) await once(socket, 'close');
}

function formatFrame(value: Frame): string {
  switch (value.kind) {
    case 'text':
      return value.text.replaceAll('\n', '');
    case 'long':
      return JSON.stringify(rpc(ECHO, 'x'.repeat(value.length)));
    case 'nested': {
      const open = '['.repeat(value.depth);
      const params = open + (value.closed ? ']'.repeat(value.depth) : '');
      return `{"jsonrpc":"2.0","id":1,"method":"${ECHO}","params":${params}}`;
    }
  }
}

function checkCalls(calls: readonly HostId[], proved: boolean): void {
  const unknown = calls.filter(from => from !== GOOD && from !== STRANGER);
  if (unknown.length > 0) throw new Error('a handler ran for an unknown host');
  if (!proved && calls.length > 0)
    throw new Error('a handler ran before the hello was proved');
}

function checkLine(line: string): void {
  const message = JSON.parse(line) as {
    jsonrpc?: unknown;
    id?: unknown;
    result?: unknown;
    error?: unknown;
  };
  const isResponse =
    message.result !== undefined || message.error !== undefined;
  if (message.jsonrpc !== '2.0' || message.id === undefined || !isResponse)
    throw new Error(`not a JSON-RPC response: ${line}`);
}

async function checkGoodPeer(good: ListeningPeers, n: number): Promise<void> {
  const response = await good.call<{params: {n: number}}>(
    SELF,
    ECHO,
    {n},
    TIMEOUT,
  );
  if (!response.ok)
    throw new Error(`the well-behaved peer got ${response.err.message}`);
  if (response.value.params.n !== n)
    throw new Error('the well-behaved peer got a response with other params');
}
