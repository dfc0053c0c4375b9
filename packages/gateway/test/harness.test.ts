// Guards against requests of a test that reach an endpoint of another test file, because
// the port of an endpoint that has ended was given out again.
import assert from 'node:assert/strict';
import {connect, createServer} from 'node:net';
import {after, test} from 'node:test';
import {closeHarnesses, respond, startEndpoint} from './harness.js';

after(closeHarnesses);

test('harness: no listener of another process takes the address of an endpoint that has ended', async () => {
  const endpoint = await startEndpoint(respond(''));
  const [host, port] = endpoint.address.split(':');
  endpoint.crash();
  const other = createServer(socket => socket.destroy());
  await new Promise<void>(done =>
    other.listen(Number(port), '127.0.0.1', done),
  );
  const socket = connect(Number(port), host);
  const outcome = await new Promise<string | undefined>(done => {
    socket.on('error', (err: NodeJS.ErrnoException) => done(err.code));
    socket.on('connect', () => done('connected'));
  });
  socket.destroy();
  other.close();
  assert.equal(outcome, 'ECONNREFUSED');
});
