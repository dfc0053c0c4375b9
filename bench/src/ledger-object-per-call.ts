import {failure, sha256} from '@chivewick/common';
import type {ServiceOutcome} from '@chivewick/services';
import type {
  CallOutcome,
  Ledger,
  LedgerCall,
  LedgerOptions,
} from '@chivewick/ledger';

interface CallRecord {
  readonly bodyDigest: string;
  readonly outcome?: CallOutcome;
}

/**
 * Baseline ledger that writes one object per call: first the intent, on
 * condition that the object is absent, then the outcome.
 *
 * @example
 * const ledger = createObjectPerCallLedger({self, platform, peers, services, live, endpoints, log});
 */
export function createObjectPerCallLedger(options: LedgerOptions): Ledger {
  const {platform, services, endpoints} = options;

  async function call(request: LedgerCall): Promise<CallOutcome> {
    const key = objectKey(request.workspace, request.key);
    const bodyDigest = sha256(
      JSON.stringify([
        request.call.method,
        request.call.path,
        request.call.body,
      ]),
    );
    const written = await platform.put(key, {bodyDigest}, 'absent');
    if (written.kind === 'unknown') {
      const err = failure('platform_unavailable', written.message);
      return {kind: 'failed', err};
    }
    if (written.kind === 'conflict') return readOutcome(key, bodyDigest);
    const outcome = toOutcome(await send(request));
    await platform.put(key, {bodyDigest, outcome}, written.version);
    return outcome;
  }

  async function send(request: LedgerCall): Promise<ServiceOutcome> {
    const err = failure('no_route', `no endpoint of ${request.service}`);
    let last: ServiceOutcome = {kind: 'not_sent', err};
    for (const address of endpoints(request.service)) {
      const call = {...request.call, idempotencyKey: request.key};
      last = await services.call(address, call, {
        timeoutMs: request.deadlineMs,
      });
      if (last.kind !== 'not_sent') return last;
    }
    return last;
  }

  async function readOutcome(
    key: string,
    bodyDigest?: string,
  ): Promise<CallOutcome> {
    const read = await platform.get(key);
    if (!read.ok) return {kind: 'failed', err: {...read.err, ran: 'unknown'}};
    const record = read.value?.value as CallRecord | undefined;
    if (record === undefined)
      return {
        kind: 'failed',
        err: failure('not_found', 'no call has this key'),
      };
    if (bodyDigest !== undefined && record.bodyDigest !== bodyDigest)
      return {
        kind: 'failed',
        err: failure('key_reused', 'key was used with another body'),
      };
    if (record.outcome === undefined)
      return {
        kind: 'failed',
        err: failure('call_in_progress', 'call has no outcome yet'),
      };
    if (record.outcome.kind === 'failed') return record.outcome;
    return {...record.outcome, replayed: true};
  }

  return {
    status: () => ({partitions: [], writes: 0, lateReports: 0}),
    call,
    lookup: (workspace, key) => readOutcome(objectKey(workspace, key)),
    handover: async () => {},
    close: async () => {},
  };
}

function toOutcome(outcome: ServiceOutcome): CallOutcome {
  if (outcome.kind === 'answered') return {...outcome, replayed: false};
  return {kind: 'failed', err: outcome.err};
}

function objectKey(workspace: string, key: string): string {
  return `ledger/call-${sha256(`${workspace}\n${key}`)}`;
}
