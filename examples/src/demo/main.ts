import {
  ADMIN_KEY,
  CALLER_KEY,
  MODEL,
  startCluster,
  type Cluster,
} from '@chivewick/system';
import {once} from 'node:events';
import {parseArgs} from 'node:util';
import {STEPS, stopHosts} from './steps.js';

const HOST_COUNT = 2;

const {values} = parseArgs({
  options: {keep: {type: 'boolean', default: false}},
});

async function main(cluster: Cluster): Promise<void> {
  for (const step of STEPS) {
    print(step.title);
    print(`  -> ${await step.run(cluster)}`);
  }
  if (values.keep) return waitForSignal(cluster);
  print('stop both hosts gracefully with a stream in progress');
  print(`  -> ${await stopHosts(cluster)}`);
  const seconds = (performance.now() / 1_000).toFixed(1);
  print(`demo: ok (${STEPS.length + 1} steps in ${seconds} s)`);
}

async function waitForSignal(cluster: Cluster): Promise<void> {
  const line = {
    callers: cluster.hosts.map(h => h.callers),
    operators: cluster.hosts.map(h => h.operators),
    objectApi: cluster.objectApi,
    hostList: cluster.hostList,
    weightStore: cluster.weightStore,
    engines: cluster.engines.map(e => ({endpoint: e.id, address: e.address})),
    service: cluster.service,
    callerKey: CALLER_KEY,
    adminKey: ADMIN_KEY,
    model: MODEL.name,
    services: ['bookings'],
    logs: cluster.group.logs,
  };
  process.stdout.write(`${JSON.stringify(line)}\n`);
  const keepAliveTimer = setInterval(() => {}, 60_000);
  await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
  clearInterval(keepAliveTimer);
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

print('starting the stand-ins and two hosts');
const cluster = await startCluster({hosts: HOST_COUNT});
let code = 0;
try {
  await main(cluster);
} catch (err) {
  const {logs} = cluster.group;
  print(`demo: failed: ${(err as Error).message}; logs are in ${logs}`);
  code = 1;
}
await cluster.close({keepLogs: code !== 0});
process.exit(code);
