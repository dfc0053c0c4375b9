import type {ServiceName} from '@chivewick/common';
import type {
  ServiceApi,
  ServiceCall,
  ServiceOutcome,
} from '@chivewick/services';
import type {LedgerSettings} from './options.js';
import type {RecordedOutcome} from './record.js';

/** Dependencies of sending calls. */
export interface SendContext {
  readonly services: ServiceApi;
  readonly endpoints: (service: ServiceName) => string[];
  readonly signal: AbortSignal;
  readonly settings: LedgerSettings;
}

/**
 * Sends a committed call. If an endpoint was not reached, nothing ran and the
 * next one is tried; after any other outcome the call is not sent again.
 *
 * @example
 * const outcome = await sendOnce(context, service, call, deadline);
 */
export async function sendOnce(
  context: SendContext,
  service: ServiceName,
  call: ServiceCall,
  deadline: number,
): Promise<ServiceOutcome | {kind: 'not_sent'; err: {message: string}}> {
  const {services, endpoints, signal, settings} = context;
  let message = `no endpoint of ${service} is known`;
  for (const address of endpoints(service)) {
    if (performance.now() >= deadline) break;
    const timeoutMs = settings.serviceTimeoutMs;
    const outcome = await services.call(address, call, {timeoutMs, signal});
    if (outcome.kind !== 'not_sent') return outcome;
    ({message} = outcome.err);
  }
  return {kind: 'not_sent', err: {message}};
}

/**
 * Converts the outcome of a send to the form stored in the partition object.
 * Bodies larger than `keptBodyBytes` bytes are omitted.
 *
 * @example
 * const recorded = toRecorded(outcome, [callId], 16_384);
 */
export function toRecorded(
  outcome: Awaited<ReturnType<typeof sendOnce>>,
  calls: readonly string[],
  keptBodyBytes: number,
): RecordedOutcome {
  if (outcome.kind === 'not_sent')
    return {kind: 'not_run', message: outcome.err.message, calls};
  if (outcome.kind === 'unknown')
    return {kind: 'unknown', message: outcome.err.message};
  const {status, contentType, body} = outcome.answer;
  const bytes = Buffer.byteLength(body);
  const keptBody = bytes <= keptBodyBytes ? {body} : {};
  return {kind: 'answered', status, contentType, bytes, ...keptBody};
}
