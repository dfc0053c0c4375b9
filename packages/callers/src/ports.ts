import type {Admission, AdmissionClass} from '@chivewick/admission';
import type {
  Failure,
  RequestId,
  Result,
  ServiceName,
  WorkspaceGrant,
  WorkspaceId,
} from '@chivewick/common';
import type {Ledger} from '@chivewick/ledger';
import type {Limits} from '@chivewick/limits';
import type {
  DoneEvent,
  PipelineEvent,
  PipelineRequest,
} from '@chivewick/pipeline';
import type {ServiceCall, ServiceOutcome} from '@chivewick/services';
import type {Context} from '@opentelemetry/api';

export type {AdmissionSlot} from '@chivewick/admission';
export type {Permit} from '@chivewick/limits';

export type ModelRequest = PipelineRequest;
export type ModelEvent = PipelineEvent;
export type Usage = DoneEvent['usage'];
export type RequestClass = AdmissionClass;

/** Dependencies of the callers' API on the rest of the daemon. */
export interface CallersPorts {
  /** Why this host currently serves no requests; undefined when it does. */
  unavailable(): Failure | undefined;
  /** Grant of the workspace whose API key has this SHA-256 digest. */
  grantOfKey(digest: string): WorkspaceGrant | undefined;
  readonly pipeline: {
    run(
      req: ModelRequest,
      signal: AbortSignal,
      trace: Context,
    ): AsyncIterable<ModelEvent>;
    resume(
      eventId: string,
      grant: WorkspaceGrant,
      signal: AbortSignal,
    ): AsyncIterable<ModelEvent>;
  };
  readonly limits: Pick<Limits, 'acquire'>;
  readonly admission: Pick<Admission, 'acquire'>;
  readonly ledger: Pick<Ledger, 'call'> & {
    /** Returns the outcome of a call as JSON for the caller. */
    lookup(workspace: WorkspaceId, key: string): Promise<Result<unknown>>;
  };
  /** Sends a repeatable call; retries and hedges as the policy allows. */
  lookup(service: ServiceName, call: ServiceCall): Promise<ServiceOutcome>;
  /** Called for each finished request, for metrics and logs. */
  onRequestFinished(req: {
    requestId: RequestId;
    class: RequestClass;
    workspace?: WorkspaceId;
    outcome: string;
    durationMs: number;
  }): void;
}
