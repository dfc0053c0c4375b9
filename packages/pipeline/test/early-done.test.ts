import {createSilentLogger, id, ok, type EndpointId} from '@chivewick/common';
import type {EngineApi, EngineFrame} from '@chivewick/engines';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPipeline} from '../src/index.js';
import {collect, makeRequest, NEVER} from './fleet.js';

/** Reports three generated tokens; the first attempt delivers only one of them. */
function enginesThatLoseTokens(): EngineApi {
  return {
    cancel: () => Promise.resolve(ok(undefined)),
    session: () => Promise.resolve(ok({epoch: 1, position: 0})),
    async *open(req: {
      epoch: number;
      prompt: string;
      generated: readonly number[];
    }): AsyncIterable<EngineFrame> {
      const promptTokens = Buffer.byteLength(req.prompt);
      const {epoch} = req;
      const last = epoch === 1 ? 1 : 3;
      for (let at = req.generated.length; at < last; at++) {
        const position = promptTokens + at;
        yield {type: 'token', epoch, position, token: 300 + at, text: `${at} `};
      }
      const usage = {promptTokens, generatedTokens: 3};
      yield {type: 'done', epoch, reason: 'length', usage};
    },
  } as unknown as EngineApi;
}

// Guards against a truncated response that is reported to the caller as complete.
test('done: a done frame before the last token starts a recovery', async () => {
  const route = [
    {endpoint: id<EndpointId>('e1'), address: 'x', from: 0, to: 24},
  ];
  const pipeline = createPipeline({
    engines: enginesThatLoseTokens(),
    routes: {choose: () => ok(route), observe: () => {}, endpoints: () => []},
    log: createSilentLogger(),
  });
  const request = makeRequest({maxTokens: 3});
  const got = await collect(pipeline.run(request, NEVER));
  assert.deepEqual(got.tokens, [300, 301, 302]);
  await pipeline.close();
});
