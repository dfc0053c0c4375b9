import type {CallersPorts} from '@chivewick/callers';
import {failure, type Failure} from '@chivewick/common';
import type {DependencyContainer} from 'tsyringe';
import type {HostState} from '../host-state.js';
import type {RequestLog} from '../request-log.js';
import {TOKENS} from '../tokens.js';
import {findCallOutcome} from './call-lookup.js';
import {resumeModel, runModel} from './model-events.js';

/** Creates the ports of the callers' API from the parts of the daemon. */
export function callersPorts(
  c: DependencyContainer,
  state: HostState,
  requests: RequestLog,
): CallersPorts {
  const lists = c.resolve(TOKENS.lists);
  const ledger = c.resolve(TOKENS.ledger);
  const metrics = c.resolve(TOKENS.metrics);
  const log = c.resolve(TOKENS.log).child('callers');
  return {
    unavailable: () => unavailable(c, state),
    grantOfKey: digest => lists.snapshot()?.grantOfKey(digest),
    pipeline: {
      run: (req, signal, trace) => runModel(c, req, signal, trace),
      resume: (eventId, grant, signal) =>
        resumeModel(c, eventId, grant, signal),
    },
    limits: c.resolve(TOKENS.limits),
    admission: c.resolve(TOKENS.admission),
    ledger: {
      async call(req) {
        const outcome = await ledger.call(req);
        const failed = outcome.kind === 'failed';
        metrics.ledgerCalls.inc({outcome: failed ? outcome.err.kind : 'ok'});
        return outcome;
      },
      lookup: (workspace, key) => findCallOutcome(c, workspace, key),
    },
    lookup: (service, call) => c.resolve(TOKENS.lookups).send(service, call),
    onRequestFinished(req) {
      metrics.requests.inc({kind: req.outcome, class: req.class});
      const seconds = req.durationMs / 1_000;
      metrics.requestDuration.observe({class: req.class}, seconds);
      const hops = c.resolve(TOKENS.hops).end(req.requestId);
      requests.add({...req, ...(hops.length > 0 && {hops})});
      const event = req.outcome === 'ok' ? 'requestFinished' : 'requestRefused';
      log.event(event, req);
    },
  };
}

function unavailable(
  c: DependencyContainer,
  state: HostState,
): Failure | undefined {
  if (state.refusing) {
    return failure('shutting_down', 'this host is shutting down');
  }
  const lists = c.resolve(TOKENS.lists);
  if (lists.snapshot() !== undefined && lists.confirmed()) return undefined;
  return failure('rights_unconfirmed', 'this host cannot confirm the lists');
}
