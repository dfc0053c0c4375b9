// Guards against a process that ends at its start because an address is still in use.
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {test} from 'node:test';
import {bindWithRetry} from '../src/index.js';

const listen = (server: Server, port: number) =>
  new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });

test('bind: an address that becomes free is bound', async () => {
  const before = createServer();
  await listen(before, 0);
  const {port} = before.address() as AddressInfo;
  const server = createServer();
  let attempts = 0;
  await bindWithRetry(() => {
    attempts += 1;
    if (attempts === 3) before.close();
    return listen(server, port);
  });
  assert.ok(attempts >= 3);
  server.close();
});

test('bind: other errors are reported at once', async () => {
  let attempts = 0;
  const bind = () => {
    attempts += 1;
    return Promise.reject(new Error('denied'));
  };
  await assert.rejects(bindWithRetry(bind), /denied/);
  assert.equal(attempts, 1);
});
