/** Bytes that one request holds in this process. */
export interface Charge {
  /** Adds bytes; may evict this or another request. */
  add(bytes: number): void;
  /** Replaces the bytes of the request, as when its response takes their place. */
  set(bytes: number): void;
  /** Sets how the request is ended when bytes run short; undefined if it must not be. */
  setEvict(evict: (() => void) | undefined): void;
  /** Whether the request may be ended, as its body has not been read whole. */
  isEvictable(): boolean;
  /** Ends the request. */
  evict(): void;
  release(): void;
}

/** Bytes that all requests may hold together. */
export interface ByteBudget {
  open(): Charge;
  total(): number;
  /** Whether over half of the bytes are held. */
  isShort(): boolean;
}

/**
 * Creates a budget for request bodies and unsent responses. It handles many clients that
 * each send a large body and stop before its end, or do not read a response: when the
 * bytes run short, it evicts the request with the largest product of bytes and time,
 * which an ordinary request never has beside such clients.
 *
 * A request whose body is complete may have run, and is not evicted. If only such
 * requests hold bytes, the one that needs more bytes is evicted.
 *
 * @example
 * const budget = createByteBudget({maxBytes: 20_000_000, now: () => performance.now()});
 * const charge = budget.open();
 * charge.setEvict(() => reject());
 * charge.add(chunk.length);
 * charge.release();
 */
export function createByteBudget(options: {
  readonly maxBytes: number;
  readonly now: () => number;
  readonly onEvict?: (bytes: number) => void;
}): ByteBudget {
  const {maxBytes, now, onEvict} = options;
  const held = new Map<
    Charge,
    {bytes: number; sinceMs: number; evict: (() => void) | undefined}
  >();
  let total = 0;

  /** Evicts until the total is within the budget, or nothing may be evicted. */
  function makeRoom(): void {
    while (total > maxBytes) {
      const nowMs = now();
      let victim: Charge | undefined;
      let highest = -1;
      for (const [charge, {bytes, sinceMs, evict}] of held) {
        // A request of the same millisecond counts with its bytes.
        const score = bytes * (1 + nowMs - sinceMs);
        if (evict === undefined || bytes === 0 || score <= highest) continue;
        highest = score;
        victim = charge;
      }
      if (victim === undefined) return;
      victim.evict();
    }
  }

  function open(): Charge {
    const entry = {
      bytes: 0,
      sinceMs: now(),
      evict: undefined as (() => void) | undefined,
    };
    const charge: Charge = {
      add: bytes => charge.set(entry.bytes + bytes),
      set(bytes) {
        if (!held.has(charge)) return;
        total += bytes - entry.bytes;
        entry.bytes = bytes;
        makeRoom();
      },
      setEvict(evict) {
        entry.evict = evict;
        entry.sinceMs = now();
      },
      isEvictable: () => entry.evict !== undefined,
      evict() {
        const {evict, bytes} = entry;
        entry.evict = undefined;
        total -= entry.bytes;
        entry.bytes = 0;
        if (evict === undefined) return;
        onEvict?.(bytes);
        evict();
      },
      release() {
        if (!held.delete(charge)) return;
        total -= entry.bytes;
        entry.evict = undefined;
      },
    };
    held.set(charge, entry);
    return charge;
  }

  return {open, isShort: () => total > maxBytes / 2, total: () => total};
}
