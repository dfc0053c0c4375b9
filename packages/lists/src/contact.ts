/** A host whose last contact is older than this stops serving (section 5.3). */
const MAX_CONTACT_AGE_MS = 10_000;

/** Times of the last contact with the platform and with any peer host. */
export interface Contact {
  recordPlatformContact(): void;
  recordPeerContact(): void;
  /** Undefined before the first contact with the platform. */
  platformAgeMs(): number | undefined;
  /** Undefined before the first contact with a peer host. */
  peerAgeMs(): number | undefined;
  /**
   * Milliseconds since the last contact with either; infinite before the first.
   */
  ageMs(): number;
  isRecent(): boolean;
}

/**
 * Creates the contact tracker. It uses the monotonic clock, which keeps running
 * while a process is suspended, so a resumed process does not treat an old
 * contact as recent.
 *
 * @example
 * const contact = createContact();
 */
export function createContact(): Contact {
  let platformMs: number | undefined;
  let peerMs: number | undefined;
  const ageOf = (at: number | undefined) =>
    at === undefined ? undefined : performance.now() - at;
  const ageMs = () =>
    Math.min(ageOf(platformMs) ?? Infinity, ageOf(peerMs) ?? Infinity);
  return {
    recordPlatformContact: () => void (platformMs = performance.now()),
    recordPeerContact: () => void (peerMs = performance.now()),
    platformAgeMs: () => ageOf(platformMs),
    peerAgeMs: () => ageOf(peerMs),
    ageMs,
    isRecent: () => ageMs() < MAX_CONTACT_AGE_MS,
  };
}
