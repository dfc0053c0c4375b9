import type {ModelRequest} from '@chivewick/callers';
import {ok, type RequestId, type Result} from '@chivewick/common';
import type {PipelineQuarantine} from '@chivewick/pipeline';
import type {Quarantine, RunPermit} from '@chivewick/quarantine';

/** Tracks the trials of suspected requests between quarantine and pipeline. */
export interface TrialTracker {
  readonly port: PipelineQuarantine;
  /**
   * Admits a request and returns its fingerprint; a suspected request waits for
   * its trial. Fails with `quarantined` or `overloaded`.
   */
  begin(req: ModelRequest): Promise<Result<string>>;
  /** Ends the trial of a request that produced a token: it crashes no endpoint. */
  endTrial(request: RequestId): void;
}

/**
 * Creates the tracker. A trial ends with the first token after the crash, not
 * with the request, so that requests that merely shared an endpoint with a
 * crashing one wait for each other no longer than a recomputation takes.
 *
 * @example
 * const trials = createTrialTracker(quarantine);
 * const pipeline = createPipeline({engines, routes, log, quarantine: trials.port});
 */
export function createTrialTracker(quarantine: Quarantine): TrialTracker {
  const trials = new Map<RequestId, RunPermit>();

  function recordTrial(
    request: RequestId,
    permit: Result<RunPermit>,
  ): Result<RunPermit> {
    if (permit.ok && permit.value.trial) trials.set(request, permit.value);
    return permit;
  }

  function endTrial(request: RequestId): void {
    trials.get(request)?.done();
    trials.delete(request);
  }

  return {
    port: {
      reportCrash: (endpoint, fingerprints, progressed) =>
        quarantine.reportCrash(endpoint, fingerprints, progressed),
      admitRetry: async (fingerprint, request, endpoints) =>
        recordTrial(
          request,
          await quarantine.admitRetry(fingerprint, endpoints),
        ),
      lastCrashMs: endpoint => quarantine.lastCrashMs(endpoint),
      releaseEndpoints: endTrial,
    },
    async begin(req) {
      const body = JSON.stringify([req.adapter, req.prompt]);
      const {workspace} = req.grant;
      const {model} = req.model;
      const permit = recordTrial(
        req.id,
        await quarantine.admit({workspace, model, body}),
      );
      return permit.ok ? ok(permit.value.fingerprint) : permit;
    },
    endTrial,
  };
}
