/** Maximum level of a bucket, in seconds at its rate. */
const MAX_BURST_S = 1;

/** Limits the rate of the tokens that started requests may generate. */
export interface TokenBucket {
  /** Changes the rate; a higher rate adds no tokens by itself. */
  setRate(tokensPerSecond: number): void;
  /** Charges a request's tokens; returns false if the bucket is empty. */
  take(tokens: number): boolean;
  /** Puts back tokens that a request was charged for but didn't generate. */
  refund(tokens: number): void;
  /** Milliseconds until `take` succeeds; `Infinity` at rate 0. */
  waitMs(): number;
  inDebt(): boolean;
}

/**
 * Creates a token bucket (Turner 1986) that is initially empty. A request
 * starts when the level is above 0 and may leave the bucket in debt, since one
 * request can need more tokens than the host's rate gives in a second. So the
 * tokens charged within T seconds are at most rate x (T + 1) plus one request.
 *
 * @example
 * const bucket = createTokenBucket();
 * bucket.setRate(400);
 */
export function createTokenBucket(): TokenBucket {
  let rate = 0;
  let level = 0;
  let filledAtMs = performance.now();

  const refill = () => {
    const now = performance.now();
    const grown = level + ((now - filledAtMs) / 1000) * rate;
    level = Math.min(grown, rate * MAX_BURST_S);
    filledAtMs = now;
  };

  return {
    setRate(tokensPerSecond) {
      if (tokensPerSecond === rate) return;
      refill();
      rate = tokensPerSecond;
      refill();
    },
    take(tokens) {
      if (tokens <= 0) return true;
      refill();
      if (rate <= 0 || level <= 0) return false;
      level -= tokens;
      return true;
    },
    refund(tokens) {
      refill();
      level = Math.min(level + tokens, rate * MAX_BURST_S);
    },
    waitMs() {
      refill();
      if (rate <= 0) return Infinity;
      return level > 0 ? 0 : Math.ceil((-level / rate) * 1000) + 1;
    },
    inDebt() {
      refill();
      return level < 0;
    },
  };
}
