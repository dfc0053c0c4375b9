import {App} from '@tinyhttp/app';
import {serveFaults} from '../common/faults.js';
import {serve} from '../common/serve.js';

/** Faults of the weight store, set with `POST /faults`. */
export interface WeightStoreFaults extends Record<string, unknown> {
  /** Responds with status 503. */
  outage: boolean;
  /** Loads allowed per second. */
  loadsPerSecond: number;
}

/** A running weight store stand-in. */
export interface WeightStoreStandIn {
  readonly address: string;
  readonly faults: WeightStoreFaults;
  /** Number of loads granted and refused so far. */
  readonly counts: {granted: number; refused: number};
  close(): Promise<void>;
}

const BYTES_PER_LAYER = 1_000_000;
const MS_PER_SECOND = 1_000;

/**
 * Starts a rate-limited weight store on loopback:
 * `GET /weights/{model}/{version}/{from}-{to}` returns the size of the layers in
 * bytes, or status 429 with `Retry-After`.
 *
 * @example
 * const weights = await createWeightStoreStandIn({loadsPerSecond: 2});
 */
export async function createWeightStoreStandIn(options: {
  port?: number;
  loadsPerSecond?: number;
}): Promise<WeightStoreStandIn> {
  const faults: WeightStoreFaults = {
    outage: false,
    loadsPerSecond: options.loadsPerSecond ?? 4,
  };
  const counts = {granted: 0, refused: 0};
  let nextLoadAt = 0;
  const app = new App();
  serveFaults(app, faults);
  app.get('/weights/:model/:version/:range', (req, res) => {
    if (faults.outage) return void res.status(503).json({error: 'outage'});
    const now = Date.now();
    if (now < nextLoadAt) {
      counts.refused += 1;
      const seconds = Math.ceil((nextLoadAt - now) / MS_PER_SECOND);
      res.setHeader('Retry-After', String(seconds));
      return void res.status(429).json({error: 'rate limit'});
    }
    nextLoadAt = now + MS_PER_SECOND / faults.loadsPerSecond;
    counts.granted += 1;
    const [from, to] = req.params.range.split('-').map(Number);
    res.json({bytes: (to - from) * BYTES_PER_LAYER});
  });
  const serving = await serve(
    (req, res) => void app.handler(req as never, res as never),
    options.port,
  );
  return {...serving, faults, counts};
}
