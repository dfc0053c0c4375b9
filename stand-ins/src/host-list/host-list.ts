import {App} from '@tinyhttp/app';
import {readBody, serveFaults} from '../common/faults.js';
import {serve} from '../common/serve.js';

/** An entry of the host list. */
export interface HostListStandInEntry {
  id: string;
  kind: 'host' | 'endpoint' | 'service';
  name?: string;
  address: string;
  failureDomain: string;
  state: 'live' | 'leaving';
}

/** Faults of the host list, set with `POST /faults`. */
export interface HostListFaults extends Record<string, unknown> {
  /** Age of the list that is returned, in milliseconds. */
  lagMs: number;
  /** Responds with status 503. */
  outage: boolean;
}

/** A running host list stand-in. */
export interface HostListStandIn {
  readonly address: string;
  readonly faults: HostListFaults;
  /** Replaces the entries. */
  set(entries: HostListStandInEntry[]): void;
  close(): Promise<void>;
}

/**
 * Starts a host list on loopback. `GET /hosts` returns the entries as they were
 * `lagMs` ago; `PUT /hosts` replaces them.
 *
 * @example
 * const hosts = await createHostListStandIn({entries: []});
 */
export async function createHostListStandIn(options: {
  port?: number;
  entries?: HostListStandInEntry[];
}): Promise<HostListStandIn> {
  const faults: HostListFaults = {lagMs: 0, outage: false};
  const versions = [{at: 0, entries: options.entries ?? []}];
  const set = (entries: HostListStandInEntry[]) => {
    versions.push({at: Date.now(), entries});
  };
  const app = new App();
  serveFaults(app, faults);
  app.get('/hosts', (_req, res) => {
    if (faults.outage) return void res.status(503).json({error: 'outage'});
    const visible = versions.findLast(v => v.at <= Date.now() - faults.lagMs);
    res.json({entries: visible?.entries ?? []});
  });
  app.put('/hosts', async (req, res) => {
    const {entries} = JSON.parse(await readBody(req)) as {
      entries: HostListStandInEntry[];
    };
    set(entries);
    res.json({entries});
  });
  const serving = await serve(
    (req, res) => void app.handler(req as never, res as never),
    options.port,
  );
  return {...serving, faults, set};
}
