import type {RecoveryLimits} from './types.js';

/** Default bounds of detection and recovery. */
export const DEFAULT_LIMITS: RecoveryLimits = {
  // At the design size about 110 hosts fail per day in the whole fleet, so more
  // faults than this on one request indicate that the request causes them.
  maxRecoveries: 8,
  maxFirstRouteWaitMs: 2_000,
  silenceMs: 10_000,
  // Timers have a resolution of 1 ms, and a busy event loop adds to that. A
  // false positive costs only one probe round.
  minStallMs: 20,
  // RFC 6298 starts at 1 s. The target for the first token is 0.56 s and a
  // probe is harmless, so the first probe is sent earlier.
  initialStallMs: 200,
  minProbeMs: 15,
  maxProbeMs: 250,
  slowAfterProbes: 3,
  // Browsers reconnect to an event stream within a few seconds.
  resumeWindowMs: 2000,
};

/** Time for which a request excludes an endpoint after a fault. */
export const EXCLUDE_MS = 2000;
