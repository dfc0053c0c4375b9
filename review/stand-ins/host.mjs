import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {freePorts} from './ports.mjs';

/** The command of `deploy/system.toml`. */
const COMMAND = [
  'node',
  '--max-old-space-size=120',
  '--max-semi-space-size=1',
  'target/chivewick-host.mjs',
];

/** Bounds as the small site files state them. */
const BOUNDS = `seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 200
recoverS = 12
passMs = 120
retryAfterS = 0
stall_ms = 3000
requireFence = true`;

function settings({name, zone, zones, ports, storeAddress, bootstrap}) {
  const zoneLines = zones.map(item => `${item} = "region"`).join('\n');
  return `node = "${name}"
role = "host"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "${zone}"
region = "region"
internalPorts = [${ports.internal},${ports.internal + 2}]
seeds = []
bootstrap = ${bootstrap}
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]

[zones]
${zoneLines}

[listen]
front = "127.0.0.1:${ports.front}"
ready = "127.0.0.1:${ports.ready}"

[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0

[faultTolerance]
machines = 1
zones = 0
regions = 0

[bounds]
${BOUNDS}

[platform]
address = "${storeAddress}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
}

/**
 * A machine that runs the host program, with the command of the deploy file. Its
 * addresses stay the same over restarts.
 */
export async function createMachine({name, zone, zones, storeAddress}) {
  const first = await freePorts(5);
  const ports = {front: first, ready: first + 1, internal: first + 2};
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const path = join(folder, 'settings.toml');
  const lines = [];
  let child;
  let exited = Promise.resolve();

  function start({bootstrap = true} = {}) {
    const options = {name, zone, zones, ports, storeAddress, bootstrap};
    writeFileSync(path, settings(options));
    const {PATH, HOME, LANG} = process.env;
    const [command, ...args] = COMMAND;
    child = spawn(command, args, {
      env: {PATH, HOME, LANG, CHIVEWICK_CONFIG: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const started = child;
    let rest = '';
    started.stdout.on('data', chunk => {
      const parts = (rest + chunk).split('\n');
      rest = parts.pop();
      lines.push(...parts);
    });
    started.stderr.on('data', chunk => lines.push(String(chunk).trim()));
    exited = new Promise(resolve =>
      started.once('exit', (code, signal) => resolve({code, signal})),
    );
  }

  /** Resolves once the machine says that it is ready. */
  async function ready(timeoutMs = 15_000) {
    const untilMs = performance.now() + timeoutMs;
    while (performance.now() < untilMs) {
      if ((await probe(ports.ready)) === 200) return true;
      await new Promise(resolve => setTimeout(resolve, 100));
    }
    return false;
  }

  return {
    name,
    front: ports.front,
    lines,
    start,
    ready,
    isReady: async () => (await probe(ports.ready)) === 200,
    logged: text => lines.some(line => line.includes(text)),
    pid: () => child.pid,
    gone: () => child.exitCode !== null || child.signalCode !== null,
    signal: name_ => child.kill(name_),
    exited: () => exited,
    async end() {
      if (child !== undefined && child.exitCode === null) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
      await exited;
      rmSync(folder, {recursive: true, force: true});
    },
  };
}

function probe(port) {
  return new Promise(resolve => {
    const req = request(
      {host: '127.0.0.1', port, path: '/-/readyz', agent: false, timeout: 900},
      res => {
        res.resume();
        resolve(res.statusCode);
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(0));
    req.end();
  });
}
