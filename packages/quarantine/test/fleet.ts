import type {EndpointId} from '@chivewick/common';
import {createRandom, type Random} from '@chivewick/common';
import type {Quarantine} from '../src/index.js';
import {endpointOf, requestOf} from './fixtures.js';

const CRASHING_BODY = 'crash';
const RUN_MS = 40;
const CRASH_AFTER_MS = 10;

interface RunningRequest {
  readonly host: number;
  readonly fingerprint: string;
  readonly fail: () => void;
}

/** Endpoints that one request crashes, and hosts that run requests on them. */
export function createFleet(
  hosts: readonly Quarantine[],
  endpoints: number,
  seed: number,
) {
  const random: Random = createRandom(seed);
  const alive = new Set(
    Array.from({length: endpoints}, (_, index) => endpointOf(index)),
  );
  const requestsOn = new Map<EndpointId, Set<RunningRequest>>();
  const banned = new Set<string>();
  let crashes = 0;

  function crash(endpoint: EndpointId): void {
    if (!alive.delete(endpoint)) return;
    crashes += 1;
    for (const running of requestsOn.get(endpoint) ?? []) running.fail();
  }

  /** Makes one attempt; resolves to false if the endpoint crashes during it. */
  function attempt(
    host: number,
    endpoint: EndpointId,
    body: string,
    fingerprint: string,
  ): Promise<boolean> {
    return new Promise(resolve => {
      const requests = requestsOn.get(endpoint) ?? new Set<RunningRequest>();
      requestsOn.set(endpoint, requests);
      const running = {host, fingerprint, fail: () => end(false)};
      const end = (ok: boolean): void => {
        clearTimeout(timer);
        resolve(ok);
        if (ok) requests.delete(running);
      };
      requests.add(running);
      const timer = setTimeout(
        () => (body === CRASHING_BODY ? crash(endpoint) : end(true)),
        body === CRASHING_BODY ? CRASH_AFTER_MS : RUN_MS,
      );
    });
  }

  /** Runs a request on a host until it is done or refused, at most 5 attempts. */
  async function run(host: number, body: string): Promise<string> {
    const quarantine = hosts[host];
    const fingerprint = quarantine.fingerprint(requestOf(body));
    for (let attempts = 0; attempts < 5; attempts++) {
      const live = [...alive];
      const endpoint = live[random.int(live.length)];
      const permit = await quarantine.admitRetry(fingerprint, [endpoint]);
      if (!permit.ok) {
        if (permit.err.kind === 'quarantined') banned.add(body);
        return permit.err.kind;
      }
      const completed =
        alive.has(endpoint) &&
        (await attempt(host, endpoint, body, fingerprint));
      if (completed) {
        permit.value.done();
        return 'done';
      }
      const failedRequests = [...(requestsOn.get(endpoint) ?? [])].filter(
        running => running.host === host,
      );
      await quarantine.reportCrash(
        endpoint,
        failedRequests.map(running => running.fingerprint),
      );
      permit.value.done();
    }
    return 'endpoint_failed';
  }

  return {run, banned, crashes: () => crashes};
}
