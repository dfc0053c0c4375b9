import {setTimeout} from 'node:timers';
import {createReplica} from './replica.mjs';

/** Time in which an order to hold layers is carried out. */
const LOAD_MS = 200;

/** The engine of a model service, as `fleetbench wire` shows it, with one kind of card. */
export const ENGINE = {
  slots: 134,
  kvCapacityTokens: 69_791,
  kvTokenBytes: 1_315_343,
  linkMbps: 400_000,
  stride: 3,
  models: [{name: 'daka510000', pace: 1, loadS: 14, warmS: 1}],
  step_ms: 1.02,
  per_seq_ms: 0.01,
  context_per_k: 0.0137,
  read_per_s: 105_000,
  pairs_per_m: 0.309,
  chunk: 512,
  report_lag_ms: 200,
  loads_at_once: 5,
  delays: [],
  usual: {prompt: 774, answer: 200},
  layers: 80,
  layerMb: 1_750,
  activationBytes: 65_767,
  pipeMbps: 26_000,
  kinds: [{name: 'a100', mb: 72_000, pace: 2.4, readFactor: 3.2}],
};

/**
 * A model replica: it reports its state, takes `place` orders under a fence, and passes
 * requests to `stream(request, socket)` when it is the first on their path.
 */
export async function createEngine({service, zone, store, stream, onOrder}) {
  let layers;
  let seq = 0;
  let highestFence = 0;

  function json(socket, status, value = {}) {
    const body = JSON.stringify(value);
    socket.end(
      `HTTP/1.1 ${status}\r\nContent-Type: application/json\r\n` +
        `Content-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`,
    );
  }

  function order(req, socket) {
    const {op, from, target, fence, precondition} = JSON.parse(req.body);
    onOrder?.({replica: req.replica, op, from, target, fence});
    if (op !== 'place') return json(socket, '404 Not Found');
    if (fence < highestFence) return json(socket, '412 Precondition Failed');
    highestFence = fence;
    if (precondition !== seq) return json(socket, '409 Conflict');
    seq += 1;
    setTimeout(() => {
      layers = {from, target, version: 1};
      publish();
    }, LOAD_MS);
    return json(socket, '202 Accepted');
  }

  const replica = await createReplica({
    service,
    zone,
    slots: ENGINE.slots,
    handle(req, socket) {
      if (req.path === '/-/report') {
        const values = {busy: false, seq, queued: 0, running: 0, pace: 1};
        return json(socket, '200 OK', {...values, layers, stalled: []});
      }
      if (req.path === '/-/order') return order(req, socket);
      return stream(req, socket);
    },
  });

  function publish() {
    store.put('servers', replica.id(), {
      ...replica.entry(),
      kind: 'a100',
      stage: 'colocated',
      layers,
    });
  }

  return {
    ...replica,
    async start() {
      await replica.start();
      publish();
    },
    layers: () => layers,
  };
}
