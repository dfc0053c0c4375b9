import type {EndpointId} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import type {HeldPaths} from './held-paths.js';
import type {PathAnswer, RepairAsk} from './messages.js';
import type {PathNeed} from './path-asker.js';

/** What a coordinator needs to know to grant a repair. */
export interface RepairNeed extends PathNeed {
  readonly repair: RepairAsk;
  /**
   * Puts the load on the new stages. It is called before any other ask is decided on
   * this host, whose own streams a coordinator counts by their load.
   */
  readonly onGranted: (stages: readonly Stage[]) => void;
}

/** Who has decided on a repair, and how. */
export type RepairChoice =
  | {
      readonly kind: 'granted';
      readonly stages: readonly Stage[];
      /** Expected time until the replacements have read the prompt. */
      readonly readMs: number;
    }
  | {readonly kind: 'denied'}
  /** No coordinator has decided: this host chooses by itself. */
  | {readonly kind: 'local'};

/** Dependencies of a repair asker. */
export interface RepairAskerOptions {
  readonly held: Pick<HeldPaths, 'nextId' | 'release'>;
  readonly ask: (
    need: PathNeed,
    id: number,
    onAnswer: (answer: PathAnswer) => void,
  ) => Promise<PathAnswer>;
  /** Whether other hosts of the failure domain are known. */
  readonly isEnabled: () => boolean;
  /** Whether this host may send to the endpoints of some stages. */
  readonly isUsable: (stages: readonly Stage[]) => boolean;
}

/**
 * Creates the function that asks for the repair of a path. The ask has an id of its
 * own, because a coordinator of an older version grants a whole path under it.
 *
 * @example
 * const askRepair = createRepairAsker({held, ask, isEnabled, isUsable});
 * const choice = await askRepair({...need, repair, onGranted});
 */
export function createRepairAsker(
  options: RepairAskerOptions,
): (need: RepairNeed) => Promise<RepairChoice> {
  const {held} = options;

  function decide(answer: PathAnswer, need: RepairNeed): RepairChoice {
    const {stages, replaced} = need.repair;
    if (answer.kind === 'no_capacity' && answer.isRepair === true)
      return {kind: 'denied'};
    if (answer.kind !== 'path' || answer.isRepair !== true)
      return {kind: 'local'};
    const kept = new Set<EndpointId>(stages.map(stage => stage.endpoint));
    const added = answer.stages.filter(stage => !kept.has(stage.endpoint));
    const isValid =
      answer.stages[0]?.endpoint === stages[0].endpoint &&
      answer.stages.every(stage => !replaced.includes(stage.endpoint)) &&
      options.isUsable(added);
    if (!isValid) return {kind: 'local'};
    return {kind: 'granted', stages: answer.stages, readMs: answer.readMs ?? 0};
  }

  return async need => {
    if (!options.isEnabled()) return {kind: 'local'};
    let choice: RepairChoice = {kind: 'local'};
    const id = held.nextId();
    await options.ask(need, id, answer => {
      choice = decide(answer, need);
      if (choice.kind === 'granted') need.onGranted(choice.stages);
    });
    held.release(id);
    return choice;
  };
}
