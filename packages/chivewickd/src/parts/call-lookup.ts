import {ok, type Result, type WorkspaceId} from '@chivewick/common';
import type {DependencyContainer} from 'tsyringe';
import {TOKENS} from '../tokens.js';

/** Returns the recorded outcome of a non-idempotent call, as JSON. */
export async function findCallOutcome(
  c: DependencyContainer,
  workspace: WorkspaceId,
  key: string,
): Promise<Result<unknown>> {
  const outcome = await c.resolve(TOKENS.ledger).lookup(workspace, key);
  if (outcome.kind === 'failed') return {ok: false, err: outcome.err};
  return ok({key, ran: 'ran', answer: outcome.answer});
}
