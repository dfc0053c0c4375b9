// Guards against a budget that evicts ordinary requests or loses bytes, bodies in more
// buffers than they need, and connections that start all that is sent on them.
import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  createBodyBuffer,
  createByteBudget,
  createReadingTurns,
  intakeLimits,
  limitConnections,
  readInPieces,
  type CloseReason,
} from '../src/intake/index.js';
import {until} from './harness.js';

test('intake: the slowest and largest body is evicted, not one that just came', () => {
  let nowMs = 0;
  const evicted: string[] = [];
  const budget = createByteBudget({maxBytes: 1_000, now: () => nowMs});
  const open = (name: string, bytes: number) => {
    const charge = budget.open();
    charge.setEvict(() => evicted.push(name));
    charge.add(bytes);
    return charge;
  };
  open('slow and large', 600);
  open('slow and small', 100);
  nowMs = 1_000;
  open('new and large', 350);
  assert.deepEqual(evicted, ['slow and large']);
  assert.equal(budget.total(), 450);
});

test('intake: a complete body is not evicted, and what needs more bytes is', () => {
  const evicted: string[] = [];
  const budget = createByteBudget({maxBytes: 1_000, now: () => 0});
  const complete = budget.open();
  complete.add(900);
  const next = budget.open();
  next.setEvict(() => evicted.push('next'));
  next.add(200);
  assert.deepEqual(evicted, ['next']);
  complete.release();
  complete.release();
  assert.equal(budget.total(), 0);
});

test('intake: all bytes are released, in whatever order requests end', () => {
  const step = fc.record({
    request: fc.nat(4),
    bytes: fc.nat(600),
    end: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step), steps => {
      const budget = createByteBudget({maxBytes: 1_000, now: () => 0});
      const charges = Array.from({length: 5}, () => budget.open());
      for (const charge of charges) charge.setEvict(() => charge.release());
      for (const {request, bytes, end} of steps) {
        if (end) charges[request].release();
        else charges[request].add(bytes);
        assert.ok(budget.total() <= 1_000);
      }
      for (const charge of charges) charge.release();
      assert.equal(budget.total(), 0);
    }),
  );
});

test('intake: a body is the same in chunks of any size, in few buffers', () => {
  for (const chunkBytes of [1, 1_000, 300_000]) {
    let allocations = 0;
    const body = createBodyBuffer(() => (allocations += 1));
    const expected = Buffer.alloc(1_000_000, 'abcdefg');
    for (let at = 0; at < expected.length; at += chunkBytes)
      body.append(expected.subarray(at, at + chunkBytes));
    assert.ok(body.take().equals(expected));
    assert.ok(allocations < 15, `${allocations} buffers`);
  }
});

test('intake: bodies in small chunks are read one at a time', () => {
  const scheduled: (() => void)[] = [];
  const turns = createReadingTurns(callback => scheduled.push(callback));
  const reads: string[] = [];
  turns.wait(() => reads.push('a'));
  turns.wait(() => reads.push('b'));
  scheduled.shift()!();
  assert.deepEqual(reads, ['a']);
  scheduled.shift()!();
  assert.deepEqual(reads, ['a', 'b']);
  assert.equal(scheduled.length, 0);
});

test('intake: the limits follow from the memory and the descriptors', () => {
  const {maxBytes, maxConnections} = intakeLimits({memoryMb: 160, maxFds: 200});
  assert.equal(Math.round(maxBytes), 16_777_216);
  assert.equal(maxConnections, 100);
  assert.equal(
    intakeLimits({memoryMb: 160, maxFds: 9_000}).maxConnections,
    640,
  );
});

test('intake: a connection starts few requests, and unread ones are closed when bytes are short', async () => {
  let nowMs = 0;
  const closed: CloseReason[] = [];
  const started: (() => void)[] = [];
  const budget = createByteBudget({maxBytes: 1_000, now: () => nowMs});
  const server: Server = createServer((req, res) =>
    connections.take(req, res, () =>
      started.push(() => void res.end('x'.repeat(8_000_000))),
    ),
  );
  const connections = limitConnections({
    server,
    budget,
    maxConnections: () => 2,
    unreadMs: () => 1_000,
    headerMs: () => 3_000,
    now: () => nowMs,
    onClosed: reason => closed.push(reason),
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  socket.pause();
  socket.on('error', () => {});
  socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(6));
  await until(() => connections.running() === 6);
  assert.equal(started.length, 4);
  started[0]();
  connections.check();
  nowMs = 500;
  connections.check();
  assert.deepEqual(closed, []);
  nowMs = 2_000;
  connections.check();
  // A slow reader of a large response looks the same for a while.
  assert.deepEqual(closed, []);
  budget.open().add(600);
  connections.check();
  assert.deepEqual(closed, ['unread']);
  await until(() => connections.running() === 0);
  socket.destroy();
  server.close();
});

// The header timeout of a request that this host did not read was answered 408, which the
// caller took for the response to its first request, which was running.
test('intake: a head that is late because this host did not read it is excused', async () => {
  let nowMs = 0;
  const closed: CloseReason[] = [];
  const ends: (() => void)[] = [];
  const server: Server = createServer((req, res) =>
    connections.take(req, res, () => ends.push(() => void res.end('done'))),
  );
  const connections = limitConnections({
    server,
    budget: createByteBudget({maxBytes: 1_000, now: () => nowMs}),
    maxConnections: () => 2,
    unreadMs: () => 15_000,
    headerMs: () => 3_000,
    now: () => nowMs,
    onClosed: reason => closed.push(reason),
  });
  const sockets: Socket[] = [];
  server.on('connection', socket => sockets.push(socket));
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.on('error', () => {});
  socket.resume();
  socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(5) + 'GET / HT');
  await until(() => connections.running() === 5);
  assert.equal(connections.isBusy(sockets[0]), true);
  assert.equal(connections.excusesLateHead(sockets[0]), true);
  nowMs = 10_000;
  connections.check();
  assert.deepEqual(closed, []);
  for (let n = 0; n < 5; n++) {
    await until(() => ends.length > n);
    ends[n]();
  }
  await until(() => connections.running() === 0);
  assert.equal(connections.excusesLateHead(sockets[0]), false);
  nowMs = 12_000;
  connections.check();
  assert.deepEqual(closed, []);
  nowMs = 13_001;
  connections.check();
  assert.deepEqual(closed, ['late_head']);
  socket.destroy();
  server.close();
});

/** Reads what arrives at once in pieces; `parse` is called with each of them. */
async function readAtOnce(
  bytes: number,
  parse: (socket: Socket, pieces: number) => void,
  mustWait = () => false,
): Promise<{pieces: number[]; socket: Socket}> {
  const socket = new PassThrough({highWaterMark: bytes}) as unknown as Socket;
  const pieces: number[] = [];
  socket.on('data', (piece: Buffer) => {
    pieces.push(piece.length);
    parse(socket, pieces.length);
  });
  readInPieces(socket, mustWait);
  socket.write(Buffer.alloc(bytes));
  await new Promise(done => setImmediate(done));
  return {pieces, socket};
}

test('intake: nothing is parsed after a refusal', async () => {
  const {pieces} = await readAtOnce(10_000, socket => {
    // As a refusal takes the socket away from the parser.
    socket.removeAllListeners('data');
    socket.on('data', () => {});
  });
  assert.equal(pieces.length, 1);
});

test('intake: what arrives while a connection waits is parsed in full later', async () => {
  let isWaiting = true;
  const {pieces, socket} = await readAtOnce(
    10_000,
    () => {},
    () => isWaiting,
  );
  assert.equal(pieces.length, 1);
  isWaiting = false;
  socket.resume();
  await new Promise(done => setImmediate(done));
  assert.equal(
    pieces.reduce((sum, length) => sum + length, 0),
    10_000,
  );
});
