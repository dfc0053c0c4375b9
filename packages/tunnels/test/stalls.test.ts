// Guards against taking a pause of this process for one of an endpoint: a connection that
// was accepted in time was given up, and the endpoint suspected.
import {LOOPBACK_HOST} from '@chivewick/stand-ins';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {after, before, test} from 'node:test';
import {readLine} from '../src/read-line.js';
import {openSocket} from '../src/sockets.js';

const LIMIT_MS = 100;
const server = createServer(socket => {
  socket.on('error', () => {});
  socket.resume();
  socket.write('opened\n');
});
before(() => once(server.listen(0, LOOPBACK_HOST), 'listening'));
after(() => server.close());

const address = () =>
  `${LOOPBACK_HOST}:${(server.address() as AddressInfo).port}`;

/** Blocks the process for longer than the limit; the event loop goes on with its timers. */
function stall(): void {
  const untilMs = performance.now() + 2 * LIMIT_MS;
  while (performance.now() < untilMs);
}

test('sockets: a connection is open that was accepted while this process did not run', async () => {
  // From here the event loop goes on with its timers.
  await new Promise(done => setImmediate(done));
  const opened = openSocket(address(), LIMIT_MS);
  stall();
  const socket = await opened;
  assert.equal(socket.destroyed, false);
  socket.destroy();
});

test('sockets: a line is read that arrived while this process did not run', async () => {
  const written = once(server, 'connection');
  const socket = await openSocket(address(), 10 * LIMIT_MS);
  await written;
  await new Promise(done => setImmediate(done));
  const line = readLine(socket, LIMIT_MS);
  stall();
  assert.equal(await line, 'opened');
  socket.destroy();
});
