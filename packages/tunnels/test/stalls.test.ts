// Guards against taking a pause of this process for one of an endpoint: a connection that
// was accepted in time was given up, and the endpoint suspected.
import {LOOPBACK_HOST} from '@chivewick/stand-ins';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {after, test} from 'node:test';
import {openSocket} from '../src/sockets.js';

const LIMIT_MS = 100;
const server = createServer(socket => socket.resume());
after(() => server.close());

test('sockets: a connection is open that was accepted while this process did not run', async () => {
  await once(server.listen(0, LOOPBACK_HOST), 'listening');
  const {port} = server.address() as AddressInfo;
  // From here the event loop goes on with its timers.
  await new Promise(done => setImmediate(done));
  const opened = openSocket(`${LOOPBACK_HOST}:${port}`, LIMIT_MS);
  const untilMs = performance.now() + 2 * LIMIT_MS;
  while (performance.now() < untilMs);
  const socket = await opened;
  assert.equal(socket.destroyed, false);
  socket.destroy();
});
