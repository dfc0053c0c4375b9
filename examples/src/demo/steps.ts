import {
  ADMIN_KEY,
  bookSlot,
  busyEngines,
  expectedDraft,
  readJson,
  repositoryPath,
  streamDraft,
  until,
  untilAdministered,
  untilReady,
  untilRouted,
  type Cluster,
  type Engine,
  type ProcessGroup,
  type StreamResult,
} from '@chivewick/system';
import {readFile, writeFile} from 'node:fs/promises';
import {join} from 'node:path';

const LEAVING_LIMIT_MS = 3_000;

/** One step of the demo; returns what it showed, throws on a failure. */
export interface Step {
  readonly title: string;
  run(cluster: Cluster): Promise<string>;
}

export const STEPS: readonly Step[] = [
  {title: 'apply the lists with the command-line tool', run: applyLists},
  {title: 'stream a draft through one host', run: streamThroughOneHost},
  {title: 'book a slot twice with one key through both hosts', run: bookTwice},
  {title: 'freeze a stage in the middle of an answer', run: freezeStage},
  {title: 'kill a stage in the middle of an answer', run: killStage},
  {title: 'drain an endpoint', run: drainEndpoint},
  {title: 'change a plan', run: changePlan},
];

async function applyLists({hosts, group}: Cluster): Promise<string> {
  const lists = ['examples/demo/plans.yaml', 'examples/demo/entitlements.yaml'];
  await untilAdministered(hosts[0]);
  const files = lists.map(file => repositoryPath(file));
  const [{operators}] = hosts;
  await runTool(operators, ['lists', 'apply', ...files, '--wait'], group);
  await untilReady(hosts);
  return `both lists are in effect on ${hosts.map(h => h.name).join(' and ')}`;
}

async function streamThroughOneHost({hosts}: Cluster): Promise<string> {
  await untilRouted(hosts[0]);
  const prompt = 'Draft the flower rota for the first Sunday of Advent.';
  const {callers} = hosts[0];
  const result = await streamDraft(callers, {prompt, maxTokens: 24});
  check(result, prompt, 24);
  return `24 tokens, whole and right: "${result.text.trim().slice(0, 60)}..."`;
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
    `first booking was answered ${first.status} ${first.body}`,
  );
  assert(second.body === first.body, `second answer differs: ${second.body}`);
  const total = Object.values(runs).reduce((sum, count) => sum + count, 0);
  assert(
    total === 1,
    `the application ran ${total} bookings: ${JSON.stringify(runs)}`,
  );
  return `both answers are the same, and the application ran it ${total} time`;
}

function freezeStage(cluster: Cluster): Promise<string> {
  return interrupt(cluster, 'SIGSTOP', 'frozen');
}

function killStage(cluster: Cluster): Promise<string> {
  return interrupt(cluster, 'SIGKILL', 'killed');
}

/** On a busy machine a stream may end before a busy engine is found. */
const MOST_STRIKES = 5;

async function interrupt(
  cluster: Cluster,
  signal: NodeJS.Signals,
  word: string,
): Promise<string> {
  for (let strike = 1; strike <= MOST_STRIKES; strike++) {
    const prompt = `Write reminder ${strike} for the ${word} stage.`;
    let picked: Promise<Engine | undefined> | undefined;
    let isOver = false;
    const result = await streamDraft(cluster.hosts[0].callers, {
      prompt,
      maxTokens: 80,
      onToken(count) {
        if (count !== 20) return;
        picked = strikeBusy(cluster, signal, () => isOver);
      },
    });
    isOver = true;
    check(result, prompt, 80);
    const hit = await picked;
    if (hit === undefined) continue;
    if (signal === 'SIGSTOP') hit.running.child.kill('SIGCONT');
    const silence = result.longestSilenceMs.toFixed(0);
    return `${hit.id} was ${word}; the whole right answer came, longest silence ${silence} ms`;
  }
  throw new Error('no engine was found busy');
}

/**
 * Sends a signal to the engine in the middle of those with a session; undefined
 * where there is none or the stream has ended meanwhile.
 */
async function strikeBusy(
  cluster: Cluster,
  signal: NodeJS.Signals,
  isOver: () => boolean,
): Promise<Engine | undefined> {
  const busy = await busyEngines(cluster.engines);
  if (isOver()) return undefined;
  const hit = busy[Math.floor(busy.length / 2)];
  hit?.running.child.kill(signal);
  return hit;
}

async function drainEndpoint(cluster: Cluster): Promise<string> {
  const [host] = cluster.hosts;
  await untilRouted(host);
  const live = cluster.engines.filter(({running}) => running.alive());
  const leaving = live.find(engine => engine.id === 'engine-7') ?? live[0];
  await cluster.markLeaving(leaving.id);
  const from = performance.now();
  await until(`${leaving.id} is leaving`, async () => {
    const rows = await endpointRows(host.operators);
    return rows.some(r => r.endpoint === leaving.id && r.state === 'leaving');
  });
  const noticedMs = performance.now() - from;
  assert(noticedMs < LEAVING_LIMIT_MS, `noticed only after ${noticedMs} ms`);
  let seen = 0;
  for (let round = 0; round < 4; round++) {
    const prompt = `Rota number ${round} after the drain.`;
    const result = await streamDraft(host.callers, {
      prompt,
      maxTokens: 8,
      onToken: () => void leaving.sessions().then(running => (seen += running)),
    });
    check(result, prompt, 8);
  }
  assert(seen === 0, `${leaving.id} got new work`);
  return `${leaving.id} got no new work after ${noticedMs.toFixed(0)} ms; 4 drafts went around it`;
}

async function changePlan({hosts, group}: Cluster): Promise<string> {
  const source = repositoryPath('examples/demo/entitlements.yaml');
  const changed = join(group.logs, 'entitlements.yaml');
  const text = await readFile(source, 'utf8');
  await writeFile(changed, text.replace('concurrency: 16', 'concurrency: 8'));
  const from = performance.now();
  const [{operators}] = hosts;
  await runTool(operators, ['lists', 'apply', changed, '--wait'], group);
  const tookMs = performance.now() - from;
  return `the new version is in effect on ${hosts.length} hosts, ${tookMs.toFixed(0)} ms after the command started`;
}

/** Stops all hosts gracefully while a stream is in progress on the first. */
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
  check(result, prompt, 100);
  for (const {name, running} of cluster.hosts) {
    const code = await running.exited;
    assert(code === 0, `${name} ended with ${code}`);
  }
  return 'the stream in progress ended whole, and both hosts exited with 0';
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
  const answer = await readJson<EndpointRow[] | {endpoints: EndpointRow[]}>(
    `${operators}/admin/endpoints`,
    ADMIN_KEY,
  );
  if (answer === undefined) return [];
  return Array.isArray(answer) ? answer : answer.endpoints;
}

function check(result: StreamResult, prompt: string, maxTokens: number): void {
  const wanted = expectedDraft(prompt, maxTokens);
  assert(result.whole, 'the stream was cut off');
  assert(result.text === wanted, `the text is wrong: ${result.text}`);
}

function assert(condition: boolean, message: string): asserts condition {
  if (!condition) throw new Error(message);
}
