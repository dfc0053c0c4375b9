// Guards against a process that does not end because the gateway's start was rejected: what
// it had opened before stayed open.
import {LOOPBACK_HOST} from '@chivewick/stand-ins';
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {after, before, test} from 'node:test';

const HARNESS = new URL('./harness.js', import.meta.url).href;
/** Far longer than the program takes; one that does not end is killed after it. */
const TIMEOUT_MS = 30_000;
/** Reserved for documentation, so that no host has it. */
const FOREIGN_ADDRESS = '192.0.2.1:10000';

const server = createServer();
before(() => once(server.listen(0, LOOPBACK_HOST), 'listening'));
after(() => server.close());

const addressInUse = () =>
  `${LOOPBACK_HOST}:${(server.address() as AddressInfo).port}`;

for (const [code, name, address] of [
  // For connections only: the socket for datagrams is open by then.
  ['EADDRINUSE', 'peers', addressInUse],
  // The last one that is bound.
  ['EADDRNOTAVAIL', 'tunnels', () => FOREIGN_ADDRESS],
] as const)
  test(`gateway: a process ends whose start is rejected by ${code} of its ${name}`, () => {
    const program = `
import {startHarness} from '${HARNESS}';
await startHarness({addresses: {${name}: '${address()}'}}).catch(err =>
  console.log(err.code),
);
`;
    const {status, signal, stdout} = spawnSync(
      process.execPath,
      ['--input-type=module', '--eval', program],
      {timeout: TIMEOUT_MS, killSignal: 'SIGKILL', encoding: 'utf8'},
    );
    assert.deepEqual(
      {status, signal, stdout},
      {status: 0, signal: null, stdout: `${code}\n`},
    );
  });
