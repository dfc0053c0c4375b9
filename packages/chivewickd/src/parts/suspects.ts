import type {ModelRequest} from '@chivewick/callers';
import {ok, type RequestId, type Result} from '@chivewick/common';
import type {PipelineQuarantine} from '@chivewick/pipeline';
import type {Quarantine, RunPermit} from '@chivewick/quarantine';

/** Holds the trials of suspected requests between quarantine and pipeline. */
export interface Suspects {
  readonly port: PipelineQuarantine;
  /**
   * Lets a request begin and gives its fingerprint; a suspect waits for its
   * trial. Fails with `quarantined` or `overloaded`.
   */
  begin(req: ModelRequest): Promise<Result<string>>;
  /** The request has produced a token, so it does not crash endpoints. */
  endTrial(request: RequestId): void;
}

/**
 * Creates the holder. A trial ends with the first token after the crash, not
 * with the request, so that requests that merely shared an endpoint with a bad
 * one wait for each other no longer than a recomputation takes.
 *
 * @example
 * const suspects = createSuspects(quarantine);
 * const pipeline = createPipeline({engines, routes, log, quarantine: suspects.port});
 */
export function createSuspects(quarantine: Quarantine): Suspects {
  const trials = new Map<RequestId, RunPermit>();

  function hold(
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
        hold(request, await quarantine.admitRetry(fingerprint, endpoints)),
      lastCrashMs: endpoint => quarantine.lastCrashMs(endpoint),
      releaseEndpoints: endTrial,
    },
    async begin(req) {
      const body = JSON.stringify([req.adapter, req.prompt]);
      const {workspace} = req.grant;
      const {model} = req.model;
      const permit = hold(
        req.id,
        await quarantine.admit({workspace, model, body}),
      );
      return permit.ok ? ok(permit.value.fingerprint) : permit;
    },
    endTrial,
  };
}
