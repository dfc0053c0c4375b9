import {
  ADMIN_KEY,
  bookSlot,
  busyEngines,
  expectedDraft,
  readJson,
  repositoryPath,
  streamDraft,
  until,
  untilAdminApiResponds,
  untilReady,
  untilRouteAvailable,
  type Cluster,
  type Engine,
  type ProcessGroup,
  type StreamResult,
} from '@chivewick/system';
import {readFile, writeFile} from 'node:fs/promises';
import {join} from 'node:path';

const LEAVING_LIMIT_MS = 3_000;

/** One step of the demo. `run` returns a summary and throws if the step fails. */
export interface Step {
  readonly title: string;
  run(cluster: Cluster): Promise<string>;
}

/** Steps of the demo, in order. */
export const STEPS: readonly Step[] = [
  {title: 'apply the lists with the command-line tool', run: applyLists},
  {title: 'stream a draft through one host', run: streamThroughOneHost},
  {title: 'book a slot twice with one key through both hosts', run: bookTwice},
  {title: 'freeze a stage in the middle of a response', run: freezeStage},
  {title: 'kill a stage in the middle of a response', run: killStage},
  {title: 'drain an endpoint', run: drainEndpoint},
  {title: 'change a plan', run: changePlan},
];

async function applyLists({hosts, group}: Cluster): Promise<string> {
  const lists = ['examples/demo/plans.yaml', 'examples/demo/entitlements.yaml'];
  await untilAdminApiResponds(hosts[0]);
  const files = lists.map(file => repositoryPath(file));
  const [{operators}] = hosts;
  await runTool(operators, ['lists', 'apply', ...files, '--wait'], group);
  await untilReady(hosts);
  return `both lists are in effect on ${hosts.map(h => h.name).join(' and ')}`;
}

async function streamThroughOneHost({hosts}: Cluster): Promise<string> {
  await untilRouteAvailable(hosts[0]);
  const prompt = 'Draft the flower rota for the first Sunday of Advent.';
  const {callers} = hosts[0];
  const result = await streamDraft(callers, {prompt, maxTokens: 24});
  checkDraft(result, prompt, 24);
  return `24 tokens, complete and correct: "${result.text.trim().slice(0, 60)}..."`;
}

async function bookTwice(cluster: Cluster): Promise<string> {
  const body = {
    church: 'San Saturnino',
    date: '2026-12-06',
    arranger: 'Nekane',
  };
  const [one, other] = cluster.hosts;
  const first = await bookSlot(one.callers, 'booking-1', body);
  const second = await bookSlot(other.callers, 'booking-1', body);
  const runs = await cluster.runs();
  assert(
    first.status < 300,
    `first booking returned ${first.status} ${first.body}`,
  );
  assert(second.body === first.body, `second response differs: ${second.body}`);
  const total = Object.values(runs).reduce((sum, count) => sum + count, 0);
  assert(
    total === 1,
    `the application ran ${total} bookings: ${JSON.stringify(runs)}`,
  );
  return `both responses are the same, and the application ran it ${total} time`;
}

function freezeStage(cluster: Cluster): Promise<string> {
  return interrupt(cluster, 'SIGSTOP', 'frozen');
}

function killStage(cluster: Cluster): Promise<string> {
  return interrupt(cluster, 'SIGKILL', 'killed');
}

/** On a busy machine, a stream can end before a busy engine is found. */
const MAX_ATTEMPTS = 5;

async function interrupt(
  cluster: Cluster,
  signal: NodeJS.Signals,
  stateName: string,
): Promise<string> {
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
    const prompt = `Write reminder ${attempt} for the ${stateName} stage.`;
    let signalled: Promise<Engine | undefined> | undefined;
    let isOver = false;
    const result = await streamDraft(cluster.hosts[0].callers, {
      prompt,
      maxTokens: 80,
      onToken(count) {
        if (count !== 20) return;
        signalled = signalBusyEngine(cluster, signal, () => isOver);
      },
    });
    isOver = true;
    checkDraft(result, prompt, 80);
    const target = await signalled;
    if (target === undefined) continue;
    if (signal === 'SIGSTOP') target.running.child.kill('SIGCONT');
    const gap = result.longestGapMs.toFixed(0);
    return `${target.id} was ${stateName}; the response is complete and correct, longest gap ${gap} ms`;
  }
  throw new Error('no busy engine was found');
}

/**
 * Sends a signal to the middle one of the engines that have a session, in order of
 * their layers. Resolves with undefined if there is none or the stream has ended.
 */
async function signalBusyEngine(
  cluster: Cluster,
  signal: NodeJS.Signals,
  isOver: () => boolean,
): Promise<Engine | undefined> {
  const busy = await busyEngines(cluster.engines);
  if (isOver()) return undefined;
  const target = busy[Math.floor(busy.length / 2)];
  target?.running.child.kill(signal);
  return target;
}

async function drainEndpoint(cluster: Cluster): Promise<string> {
  const [host] = cluster.hosts;
  await untilRouteAvailable(host);
  const live = cluster.engines.filter(({running}) => running.alive());
  const leaving = live.find(engine => engine.id === 'engine-7') ?? live[0];
  await cluster.markLeaving(leaving.id);
  const startMs = performance.now();
  await until(`${leaving.id} is leaving`, async () => {
    const rows = await endpointRows(host.operators);
    return rows.some(r => r.endpoint === leaving.id && r.state === 'leaving');
  });
  const detectedMs = performance.now() - startMs;
  assert(detectedMs < LEAVING_LIMIT_MS, `detected only after ${detectedMs} ms`);
  let sessionCount = 0;
  for (let round = 0; round < 4; round++) {
    const prompt = `Rota number ${round} after the drain.`;
    const result = await streamDraft(host.callers, {
      prompt,
      maxTokens: 8,
      onToken: () =>
        void leaving.sessions().then(running => (sessionCount += running)),
    });
    checkDraft(result, prompt, 8);
  }
  assert(sessionCount === 0, `${leaving.id} got new work`);
  return `${leaving.id} got no new work after ${detectedMs.toFixed(0)} ms; 4 drafts used other endpoints`;
}

async function changePlan({hosts, group}: Cluster): Promise<string> {
  const source = repositoryPath('examples/demo/entitlements.yaml');
  const changed = join(group.logs, 'entitlements.yaml');
  const text = await readFile(source, 'utf8');
  await writeFile(changed, text.replace('concurrency: 16', 'concurrency: 8'));
  const startMs = performance.now();
  const [{operators}] = hosts;
  await runTool(operators, ['lists', 'apply', changed, '--wait'], group);
  const tookMs = performance.now() - startMs;
  return `the new version is in effect on ${hosts.length} hosts, ${tookMs.toFixed(0)} ms after the command started`;
}

/** Stops all hosts gracefully while the first host serves a stream. */
export async function stopHosts(cluster: Cluster): Promise<string> {
  const [host] = cluster.hosts;
  const prompt = 'A last draft before the host stops.';
  const result = await streamDraft(host.callers, {
    prompt,
    maxTokens: 100,
    onToken(count) {
      if (count === 10) cluster.hosts.forEach(each => each.kill('SIGTERM'));
    },
  });
  checkDraft(result, prompt, 100);
  for (const {name, running} of cluster.hosts) {
    const code = await running.exited;
    assert(code === 0, `${name} ended with ${code}`);
  }
  return 'the stream in progress was completed, and both hosts exited with 0';
}

async function runTool(
  server: string,
  args: readonly string[],
  group: ProcessGroup,
): Promise<void> {
  const script = 'packages/chivewick/dist/src/main.js';
  const all = ['--server', server, '--key', ADMIN_KEY, ...args];
  const tool = group.start(`tool-${args[1]}`, script, all);
  const code = await tool.exited;
  assert(
    code === 0,
    `chivewick ${args.join(' ')} exited with ${code}; see ${group.logs}`,
  );
}

interface EndpointRow {
  endpoint: string;
  state: string;
}

async function endpointRows(operators: string): Promise<EndpointRow[]> {
  const response = await readJson<EndpointRow[] | {endpoints: EndpointRow[]}>(
    `${operators}/admin/endpoints`,
    ADMIN_KEY,
  );
  if (response === undefined) return [];
  return Array.isArray(response) ? response : response.endpoints;
}

function checkDraft(
  result: StreamResult,
  prompt: string,
  maxTokens: number,
): void {
  const expected = expectedDraft(prompt, maxTokens);
  assert(result.complete, 'the stream was truncated');
  assert(result.text === expected, `the text is wrong: ${result.text}`);
}

function assert(condition: boolean, message: string): asserts condition {
  if (!condition) throw new Error(message);
}
