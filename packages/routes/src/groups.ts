import type {Endpoint} from './endpoint.js';

/** Usable endpoints of one layer range, by index of their failure domain. */
export interface RangeGroup {
  readonly from: number;
  readonly to: number;
  readonly byDomain: Map<number, Endpoint[]>;
}

/** Usable endpoints by model and version, then by range, then by domain. */
export interface Groups {
  /** Moves an endpoint to the group of its current status, or removes it. */
  place(endpoint: Endpoint): void;
  remove(endpoint: Endpoint): void;
  /** Returns the layer ranges of a model version that have usable endpoints. */
  ranges(model: string, version: string): readonly RangeGroup[];
}

interface GroupEntry {
  readonly model: string;
  readonly group: RangeGroup;
  readonly members: Endpoint[];
  /** Index in `members`, which avoids a search on removal. */
  slot: number;
}

/**
 * Creates an empty index. The cost of moving an endpoint does not depend on the
 * number of endpoints, so a status report does not rebuild the index.
 *
 * @example
 * const groups = createGroups(isUsable);
 * groups.place(endpoint);
 */
export function createGroups(usable: (endpoint: Endpoint) => boolean): Groups {
  const models = new Map<string, RangeGroup[]>();
  const entries = new Map<Endpoint, GroupEntry>();

  function remove(endpoint: Endpoint): void {
    const entry = entries.get(endpoint);
    if (entry === undefined) return;
    entries.delete(endpoint);
    const {members, slot, group, model} = entry;
    const last = members.pop();
    if (last !== undefined && last !== endpoint) {
      members[slot] = last;
      (entries.get(last) as GroupEntry).slot = slot;
    }
    if (members.length > 0) return;
    group.byDomain.delete(endpoint.domain);
    if (group.byDomain.size > 0) return;
    const ranges = (models.get(model) ?? []).filter(range => range !== group);
    if (ranges.length > 0) models.set(model, ranges);
    else models.delete(model);
  }

  function findOrCreateGroup(
    model: string,
    from: number,
    to: number,
  ): RangeGroup {
    const ranges = models.get(model) ?? [];
    const existing = ranges.find(
      range => range.from === from && range.to === to,
    );
    if (existing !== undefined) return existing;
    const group = {from, to, byDomain: new Map<number, Endpoint[]>()};
    models.set(model, [...ranges, group]);
    return group;
  }

  return {
    remove,
    place(endpoint) {
      const {status, domain} = endpoint;
      const usableStatus =
        status === undefined || !usable(endpoint) ? undefined : status;
      const entry = entries.get(endpoint);
      if (usableStatus === undefined) return remove(endpoint);
      const model = modelKey(usableStatus.model, usableStatus.version);
      const {from, to} = usableStatus.layers;
      if (
        entry?.model === model &&
        entry.group.from === from &&
        entry.group.to === to
      )
        return;
      remove(endpoint);
      const group = findOrCreateGroup(model, from, to);
      const members = group.byDomain.get(domain) ?? [];
      group.byDomain.set(domain, members);
      entries.set(endpoint, {model, group, members, slot: members.length});
      members.push(endpoint);
    },
    ranges: (model, version) => models.get(modelKey(model, version)) ?? [],
  };
}

function modelKey(model: string, version: string): string {
  return `${model}\n${version}`;
}
