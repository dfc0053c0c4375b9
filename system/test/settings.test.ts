/**
 * Guards against a host that starts with invalid settings, or that does not report
 * the file, line and key of the error.
 */
import {LOOPBACK_HOST} from '@chivewick/stand-ins';
import {createProcessGroup, freePorts} from '@chivewick/system';
import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';

const DIGEST = 'a'.repeat(64);

function settings(port: number): string {
  return `firm: diocese
host: nav-a-1
failureDomain: nav-a
callers:
  listen: ${LOOPBACK_HOST}:${port}
operators:
  listen: ${LOOPBACK_HOST}:${port + 1}
  keys:
    - {name: maria, sha256: ${DIGEST}}
peers:
  listen: ${LOOPBACK_HOST}:${port + 2}
  secret: secret-of-the-hosts
platform:
  objectApi: ${LOOPBACK_HOST}:${port + 3}
  hostList: ${LOOPBACK_HOST}:${port + 4}
`;
}

const cases: ReadonlyArray<{
  name: string;
  from: string | RegExp;
  to: string;
  line: number;
  key: string;
}> = [
  {
    name: 'an unknown key',
    from: 'failureDomain:',
    to: 'failureDomian:',
    line: 3,
    key: 'failureDomian',
  },
  {
    name: 'an unknown key in a section',
    from: '  secret:',
    to: '  secrets:',
    line: 12,
    key: 'peers.secrets',
  },
  {
    name: 'a wrong type',
    from: 'host: nav-a-1',
    to: 'host: [nav-a-1]',
    line: 2,
    key: 'host',
  },
  {
    name: 'a value out of range',
    from: 'secret-of-the-hosts',
    to: 'short',
    line: 12,
    key: 'peers.secret',
  },
  {
    name: 'a host name instead of an IP address',
    from: /objectApi: .*/,
    to: 'objectApi: platform:80',
    line: 14,
    key: 'platform.objectApi',
  },
  {
    name: 'a missing value',
    from: /objectApi: .*/,
    to: 'objectApi:',
    line: 14,
    key: 'platform.objectApi',
  },
  {
    name: 'a missing key',
    from: /\n {2}hostList: .*/,
    to: '',
    line: 13,
    key: 'platform.hostList',
  },
  {
    name: 'broken YAML',
    from: 'callers:',
    to: 'callers: {', // Reported where the flow mapping should end.
    line: 6,
    key: '',
  },
];

describe('settings of a host', () => {
  for (const {name, from, to, line, key} of cases) {
    it(`exits with 2 and names file, line and key: ${name}`, async () => {
      const logs = await mkdtemp(join(tmpdir(), 'chivewick-'));
      const group = createProcessGroup(logs);
      const [port] = await freePorts(1);
      const file = join(logs, 'host.yaml');
      await writeFile(file, settings(port).replace(from, to));
      try {
        const daemon = group.start(
          'daemon',
          'packages/chivewickd/dist/src/main.js',
          ['--config', file],
        );
        let listened = false;
        const probe = setInterval(() => {
          for (const at of [port, port + 1, port + 2])
            connect(at, LOOPBACK_HOST)
              .on('connect', function (this: ReturnType<typeof connect>) {
                listened = true;
                this.destroy();
              })
              .on('error', () => {});
        }, 20);
        const code = await daemon.exited;
        clearInterval(probe);
        const message = daemon.errors();
        assert.equal(code, 2, message);
        assert.equal(listened, false, 'a listener was opened');
        const report = message
          .split('\n')
          .find(l => l.startsWith(`${file}:${line}:`));
        assert.ok(report !== undefined, `no error at line ${line}: ${message}`);
        assert.ok(report.includes(key), report);
      } finally {
        await group.stopAll();
        await rm(logs, {recursive: true, force: true});
      }
    });
  }
});
