/** Limits on what all callers together may take of a process. */
export interface IntakeLimits {
  /** Bytes of request bodies and unsent responses. */
  readonly maxBytes: number;
  readonly maxConnections: number;
}

/**
 * Fraction of the memory for bodies and unsent responses. The process takes 60 MB without
 * requests and up to half as much again in garbage; on 160 MB, a tenth leaves room for
 * three bodies of 4 MB.
 */
const BYTES_FRACTION = 1 / 10;
/** A body of the largest size that a configuration allows, twice. */
const MIN_BYTES = 2 * 4_194_304;
/** A request in progress needs a descriptor to its caller and one to its endpoint. */
const FDS_PER_CONNECTION = 2;
/** A connection takes up to 32 KB with its headers: at most an eighth of the memory. */
const CONNECTIONS_PER_MB = 4;

/** Limits where the deployment states none. */
export const NO_INTAKE_LIMITS: IntakeLimits = {
  maxBytes: Infinity,
  maxConnections: Infinity,
};

/**
 * Derives the limits from those of the machine.
 *
 * @example
 * intakeLimits({memoryMb: 160, maxFds: 4_100}).maxConnections; // 640
 */
export function intakeLimits(machine: {
  readonly memoryMb: number;
  readonly maxFds: number;
}): IntakeLimits {
  const {memoryMb, maxFds} = machine;
  return {
    maxBytes: Math.max(MIN_BYTES, memoryMb * 1_048_576 * BYTES_FRACTION),
    maxConnections: Math.max(
      1,
      Math.floor(
        Math.min(maxFds / FDS_PER_CONNECTION, memoryMb * CONNECTIONS_PER_MB),
      ),
    ),
  };
}
