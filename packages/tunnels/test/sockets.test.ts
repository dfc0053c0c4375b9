// Guards against processes that spin when they exit, and lose descriptors: the handle of a
// socket that is reset while its end is being sent was never closed.
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {test} from 'node:test';

const MODULE = new URL('../src/sockets.js', import.meta.url).href;
/** Far longer than the program takes; one that spins is ended after it. */
const TIMEOUT_MS = 20_000;
const PROGRAM = `
import {connect, createServer} from 'node:net';
import {resetSocket} from '${MODULE}';
const server = createServer(socket => {
  socket.on('error', () => {});
  socket.end('x');
  resetSocket(socket);
  server.close();
});
server.listen(0, '127.0.0.1', () => {
  const client = connect(server.address().port, '127.0.0.1');
  client.on('error', () => {});
  client.resume();
});
`;

test('sockets: a process exits after a socket was reset while its end was sent', () => {
  const {status, signal} = spawnSync(
    process.execPath,
    ['--input-type=module', '--eval', PROGRAM],
    {timeout: TIMEOUT_MS, killSignal: 'SIGKILL'},
  );
  assert.deepEqual({status, signal}, {status: 0, signal: null});
});
