import type {Grant, GrantedStage} from '@chivewick/coordination';
import type {Stage} from '@chivewick/engines';

/** The paths that this host uses, as it reports them to coordinators. */
export interface HeldPaths {
  /** Reserves the id of a path that is asked for. */
  nextId(): number;
  /** Records a path, or the new stages of a path that was repaired. */
  set(id: number, tokens: number, stages: readonly Stage[]): void;
  release(id: number): void;
  all(): Grant[];
  /** Highest id below which no answer is outstanding. */
  settledThrough(): number;
  /** Ids released since the last call. */
  takeReleased(): number[];
}

/**
 * Creates an empty record.
 *
 * @example
 * const id = held.nextId();
 * held.set(id, 974, stages);
 * held.release(id);
 */
export function createHeldPaths(): HeldPaths {
  const paths = new Map<number, Grant>();
  const outstanding = new Set<number>();
  let released: number[] = [];
  let lastId = 0;

  return {
    nextId() {
      lastId += 1;
      outstanding.add(lastId);
      return lastId;
    },
    set(id, tokens, stages) {
      outstanding.delete(id);
      paths.set(id, {id, tokens, stages: stages.map(granted)});
    },
    release(id) {
      outstanding.delete(id);
      paths.delete(id);
      released.push(id);
    },
    all: () => [...paths.values()],
    settledThrough: () => Math.min(lastId, Math.min(...outstanding) - 1),
    takeReleased() {
      const ids = released;
      released = [];
      return ids;
    },
  };
}

function granted({endpoint, from, to}: Stage): GrantedStage {
  return {endpoint, layers: to - from};
}
