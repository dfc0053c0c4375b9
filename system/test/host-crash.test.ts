/**
 * Kills the host that serves the caller in the middle of streams. Guards against
 * duplicate and missing tokens when another host resumes them (I1, I2).
 */
import {
  applyDemoLists,
  expectedDraft,
  OTHER_KEY,
  resumeDraft,
  startCluster,
  streamDraft,
  type Cluster,
  type StreamResult,
} from '@chivewick/system';
import assert from 'node:assert/strict';
import {after, afterEach, before, describe, it} from 'node:test';

const TOKENS = 60;

function promptOf(at: number): string {
  return `Rota ${at} for the feast of San Fermin.`;
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

describe('crash of the entry host', () => {
  let cluster: Cluster;
  before(async () => {
    cluster = await startCluster({hosts: 2});
    await applyDemoLists(cluster);
  });
  after(() => cluster.close());
  afterEach(async () => {
    if (cluster.hosts[0].running.alive()) return;
    cluster.hosts[0].restart();
    await applyDemoLists(cluster);
  });

  it('resumes on another host without a duplicate or missing token', async () => {
    const [entry, other] = cluster.hosts;
    const parts = await Promise.all(
      Array.from({length: 4}, (_, at) =>
        streamDraft(entry.callers, {
          prompt: promptOf(at),
          maxTokens: TOKENS,
          onToken(count) {
            if (at === 0 && count === 20) entry.kill('SIGKILL');
          },
        }),
      ),
    );
    for (const [at, part] of parts.entries()) {
      assert.equal(
        part.complete,
        false,
        'the host crashed before the end of the stream',
      );
      const rest = await resumeDraft(other.callers, part);
      checkComplete({...rest, text: part.text + rest.text}, promptOf(at));
    }
  });

  it("refuses to resume with another workspace's key", async () => {
    const [entry, other] = cluster.hosts;
    const part = await streamDraft(entry.callers, {
      prompt: promptOf(0),
      maxTokens: TOKENS,
      onToken(count) {
        if (count === 20) entry.kill('SIGKILL');
      },
    });
    const foreign = await resumeDraft(other.callers, part, OTHER_KEY);
    const {error} = JSON.parse(foreign.refusal || '{}') as {
      error?: {kind: string};
    };
    assert.ok(
      error?.kind === 'not_found' || error?.kind === 'gone',
      `answered ${foreign.status} ${foreign.refusal} ${foreign.text}`,
    );
    const rest = await resumeDraft(other.callers, part);
    checkComplete({...rest, text: part.text + rest.text}, promptOf(0));
  });
});
