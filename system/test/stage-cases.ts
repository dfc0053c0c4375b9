/**
 * Streams over real processes while stages crash or freeze. Guards against
 * truncated streams and wrong text after a recovery (I1, I2).
 */
import {
  applyDemoLists,
  busyEngines,
  expectedDraft,
  startCluster,
  streamDraft,
  type Cluster,
  until,
  type Engine,
  type EngineSpec,
  type StreamResult,
} from '@chivewick/system';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

const STREAMS = 20;
const TOKENS = 60;
const FROZEN_MS = 400;

/** Signals sent to engines in the middle of streams. */
export interface StageCase {
  name: string;
  signal: NodeJS.Signals;
  /** Token counts of the first stream at which engines get the signal. */
  signalAtTokens: readonly number[];
  /** Number of engines that get the signal at each of these counts. */
  enginesPerSignal: number;
  /** Whether the second signal goes to the same engines as the first. */
  sameEngines?: boolean;
}

/** Three replicas of each stage: a route remains if any two engines fail. */
const STAGES: readonly EngineSpec[] = [0, 8, 16].flatMap(from =>
  [0, 1, 2].map(domain => ({
    from,
    to: from + 8,
    accelerator: 'gpu-large',
    decodeUs: 400,
    domain,
  })),
);

/**
 * Declares one test for each case.
 *
 * @example
 * testStageFaults([{name: 'one killed', signal: 'SIGKILL', signalAtTokens: [10], enginesPerSignal: 1}]);
 */
export function testStageFaults(cases: readonly StageCase[]): void {
  describe('streams while stages fail', {concurrency: 2}, () => {
    for (const {
      name,
      signal,
      signalAtTokens,
      enginesPerSignal,
      sameEngines,
    } of cases) {
      it(`completes every stream: ${name}`, async () => {
        const cluster = await startCluster({hosts: 2, engines: STAGES});
        try {
          await applyDemoLists(cluster);
          let signalCount = 0;
          const signalled = new Set<Engine>();
          const results = await streamAll(cluster, async count => {
            if (!signalAtTokens.includes(count)) return;
            const targets =
              sameEngines && signalled.size > 0
                ? [...signalled]
                : await pickBusyEngines(cluster, signalled, enginesPerSignal);
            for (const target of targets) {
              signalled.add(target);
              signalCount += Number(target.running.child.kill(signal));
              if (sameEngines) void resumeLater(target);
            }
          });
          assert.equal(
            signalCount,
            signalAtTokens.length * enginesPerSignal,
            'engines got the signal',
          );
          results.forEach((result, at) => checkComplete(result, promptOf(at)));
        } finally {
          await cluster.close();
        }
      });
    }
  });
}

/** Waits for engines with a session in progress that have had no signal. */
async function pickBusyEngines(
  {engines}: Cluster,
  signalled: ReadonlySet<Engine>,
  count: number,
): Promise<Engine[]> {
  let busy: Engine[] = [];
  await until('enough engines are busy', async () => {
    busy = (await busyEngines(engines)).filter(
      engine => !signalled.has(engine),
    );
    return busy.length >= count;
  });
  return busy.slice(-count);
}

async function resumeLater({running}: Engine): Promise<void> {
  await sleep(FROZEN_MS);
  running.child.kill('SIGCONT');
}

function promptOf(at: number): string {
  return `Rota ${at} for the feast of San Fermin.`;
}

function streamAll(
  {hosts}: Cluster,
  onToken: (count: number) => Promise<void>,
): Promise<StreamResult[]> {
  return Promise.all(
    Array.from({length: STREAMS}, (_, at) =>
      streamDraft(hosts[at % hosts.length].callers, {
        prompt: promptOf(at),
        maxTokens: TOKENS,
        onToken: at === 0 ? count => void onToken(count) : undefined,
      }),
    ),
  );
}

function checkComplete(result: StreamResult, prompt: string): void {
  const {complete, failed, refusal, text} = result;
  assert.deepEqual(
    {complete, failed, refusal, text},
    {
      complete: true,
      failed: undefined,
      refusal: '',
      text: expectedDraft(prompt, TOKENS),
    },
  );
}
