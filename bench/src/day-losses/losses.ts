/** Worth of a day that was lost to one cause. */
export interface Loss {
  readonly cause: string;
  /** Lost worth, as a fraction of the worth of the full day. */
  readonly worth: number;
}

/** Losses of one simulated day. */
export interface DayLosses {
  readonly day: string;
  /** Remaining worth, with prices subtracted. */
  readonly worth: number;
  /** Largest first; sums to about `1 - worth`. */
  readonly byPart: readonly Loss[];
  /** Unsuccessful requests by outcome, as fractions of all requests. */
  readonly byOutcome: readonly Loss[];
  /**
   * Kinds of request, failure domains and times, each with the fraction of its
   * own worth that was lost.
   */
  readonly byGroup: readonly Loss[];
}

/** A report of one day, or a day of a journal entry; fields as written there. */
interface DayReport {
  readonly name?: string;
  readonly G: number;
  readonly served: number;
  readonly refused: number;
  readonly failed: number;
  readonly parts: readonly (readonly [string, number, number])[];
  readonly prices: readonly (readonly [string, number, number])[];
  readonly classes?: readonly Group[];
  readonly zones?: readonly Group[];
  readonly windows?: readonly Group[];
  readonly by_class?: readonly (number | null)[];
  readonly by_zone?: readonly (number | null)[];
}

interface Group {
  readonly name: string;
  readonly worth: number;
}

interface JournalEntry {
  readonly site: string;
  readonly days: readonly DayReport[];
}

/**
 * Reads a report of one day or a journal entry of many.
 *
 * @throws Error if the text is neither.
 * @example
 * const {site, days} = readLosses(await readFile(path, 'utf8'));
 */
export function readLosses(text: string): {
  site: string;
  days: DayLosses[];
} {
  const value = JSON.parse(text) as JournalEntry | DayReport;
  if ('days' in value) {
    return {site: value.site, days: value.days.map(lossesOf)};
  }
  if ('parts' in value) return {site: '', days: [lossesOf(value)]};
  throw new Error('neither a report of a day nor a journal entry');
}

function lossesOf(day: DayReport): DayLosses {
  const {served, refused, failed} = day;
  return {
    day: day.name ?? 'day',
    worth: day.G,
    byPart: sorted([
      ...day.parts.map(([name, weight, value]) => ({
        cause: name,
        worth: weight * (1 - value),
      })),
      ...day.prices.map(([name, , worth]) => ({cause: name, worth})),
    ]),
    byOutcome: sorted([
      {cause: 'refused', worth: refused},
      {cause: 'failed', worth: failed},
      {cause: 'late', worth: Math.max(0, 1 - served - refused - failed)},
    ]),
    byGroup: sorted([
      ...groups('kind', day.classes, day.by_class),
      ...groups('failure domain', day.zones, day.by_zone),
      ...groups('from second', day.windows, undefined),
    ]),
  };
}

function groups(
  label: string,
  named: readonly Group[] | undefined,
  numbered: readonly (number | null)[] | undefined,
): Loss[] {
  const all =
    named ??
    (numbered ?? []).flatMap((worth, index) =>
      worth === null ? [] : [{name: String(index + 1), worth}],
    );
  return all.map(({name, worth}) => ({
    cause: `${label} ${name}`,
    worth: 1 - worth,
  }));
}

function sorted(losses: readonly Loss[]): Loss[] {
  return losses
    .filter(({worth}) => worth > 0)
    .sort((a, b) => b.worth - a.worth);
}

/**
 * Mean loss by cause over days, largest first.
 *
 * @example
 * const [first] = meanLosses(days.map(day => day.byPart));
 */
export function meanLosses(days: readonly (readonly Loss[])[]): Loss[] {
  const sums = new Map<string, number>();
  for (const {cause, worth} of days.flat())
    sums.set(cause, (sums.get(cause) ?? 0) + worth / days.length);
  return sorted([...sums].map(([cause, worth]) => ({cause, worth})));
}
