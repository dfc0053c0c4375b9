// Guards against requests of a test that reach a stand-in of another process, because the
// port of a stand-in that has ended was given out again.
import assert from 'node:assert/strict';
import {connect, createServer} from 'node:net';
import {test} from 'node:test';
import {
  createEngineStandIn,
  createServiceStandIn,
  serve,
} from '../src/index.js';

for (const [name, start] of [
  ['engine', () => createEngineStandIn()],
  ['service', () => createServiceStandIn()],
  ['server', () => serve((_req, res) => void res.end())],
] as const)
  test(`loopback: no listener of another process takes the address of a ${name} that has ended`, async () => {
    const standIn = await start();
    const [host, port] = standIn.address.split(':');
    await standIn.close();
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
