import {failure, type Failure} from '@chivewick/common';
import type {Rejection} from '@chivewick/crash-evidence';
import type {Attempts} from '../attempts.js';
import type {Exchange, ExchangeContext} from '../exchange.js';

/**
 * The failure of a request that the quarantine keeps from being sent; undefined if it may
 * be sent. One that has run and is only suspected ends as it would without the quarantine.
 *
 * @param when whether the request is sent at once, or only considered.
 * @example
 * const err = rejectQuarantined('sent', {exchange, ctx, attempts});
 * if (err !== undefined) return failed(err);
 */
export function rejectQuarantined(
  when: 'considered' | 'sent',
  {
    exchange,
    ctx,
    attempts,
  }: {
    exchange: Exchange;
    ctx: Pick<ExchangeContext, 'quarantine' | 'log' | 'metrics'>;
    attempts: Pick<Attempts, 'runs' | 'failure'>;
  },
): Failure | undefined {
  const {quarantine} = ctx;
  const rejection =
    when === 'sent'
      ? quarantine.rejectionOf(exchange)
      : quarantine.expectRejection(exchange);
  if (rejection === undefined) return undefined;
  ctx.log.event('fingerprintRejected', {
    requestId: exchange.requestId,
    ...rejection,
  });
  ctx.metrics.quarantined.inc({
    evidence: rejection.isProven ? 'proven' : 'suspected',
  });
  if (rejection.isProven) return quarantined(attempts.runs);
  if (attempts.runs > 0 && attempts.failure !== undefined)
    return attempts.failure;
  return suspected(rejection);
}

function quarantined(runs: number): Failure {
  return failure('quarantined', 'requests like this one crash endpoints', {
    ran: runs > 0 ? 'ran' : 'not_run',
  });
}

function suspected({retryAfterMs}: Rejection): Failure {
  return failure(
    'suspected',
    'endpoints have crashed while running requests like this one',
    {retryAfterMs: Math.ceil(retryAfterMs)},
  );
}
