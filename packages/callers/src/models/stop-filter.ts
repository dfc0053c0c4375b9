/** Truncates a text stream before the first stop sequence. */
export interface StopFilter {
  /** Returns text that may be sent, and whether a stop sequence was found. */
  push(text: string): {text: string; stopped: boolean};
  /** Returns text held back as the possible start of a stop sequence. */
  flush(): string;
}

/**
 * Creates a filter for stop sequences that may span several tokens.
 *
 * @example
 * const filter = createStopFilter(['END']);
 * filter.push('lilies E'); // {text: 'lilies ', stopped: false}
 */
export function createStopFilter(stops: readonly string[]): StopFilter {
  let held = '';
  return {
    push(text) {
      held += text;
      const at = firstIndex(held, stops);
      if (at !== -1) return {text: held.slice(0, at), stopped: true};
      const keep = longestPartial(held, stops);
      const ready = held.slice(0, held.length - keep);
      held = held.slice(held.length - keep);
      return {text: ready, stopped: false};
    },
    flush() {
      const rest = held;
      held = '';
      return rest;
    },
  };
}

function firstIndex(text: string, stops: readonly string[]): number {
  const found = stops.map(stop => text.indexOf(stop)).filter(at => at !== -1);
  return found.length === 0 ? -1 : Math.min(...found);
}

function longestPartial(text: string, stops: readonly string[]): number {
  const longest = Math.max(0, ...stops.map(stop => stop.length - 1));
  for (let length = Math.min(longest, text.length); length > 0; length--) {
    const tail = text.slice(text.length - length);
    if (stops.some(stop => stop.length > length && stop.startsWith(tail))) {
      return length;
    }
  }
  return 0;
}
