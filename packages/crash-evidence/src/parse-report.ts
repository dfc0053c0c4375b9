import type {EvidenceReport} from './types.js';

type Fields = Readonly<Record<string, unknown>>;

/**
 * Checks a report of another host; returns undefined if it is malformed.
 *
 * @example
 * const report = parseEvidenceReport(JSON.parse(text));
 * if (report !== undefined) evidence.merge(report);
 */
export function parseEvidenceReport(
  value: unknown,
): EvidenceReport | undefined {
  const {crashes, successes, bans} = fieldsOf(value);
  const isValid =
    isListOf(crashes, isCrash) &&
    isListOf(successes, isDated) &&
    isListOf(bans, isBan);
  return isValid ? (value as EvidenceReport) : undefined;
}

function isCrash(value: unknown): boolean {
  const {run, requests, msAgo} = fieldsOf(value);
  const isSuspect = (suspect: unknown) =>
    isOptionalDuration(fieldsOf(suspect)['silentMs']) &&
    isText(fieldsOf(suspect)['request']) &&
    typeof fieldsOf(suspect)['hasBegun'] === 'boolean' &&
    isListOf(fieldsOf(suspect)['parts'], isText);
  return isText(run) && isDuration(msAgo) && isListOf(requests, isSuspect);
}

function isBan(value: unknown): boolean {
  const {crashes, triedMsAgo} = fieldsOf(value);
  return (
    isDated(value) && isDuration(crashes) && isOptionalDuration(triedMsAgo)
  );
}

function isDated(value: unknown): boolean {
  const {fingerprint, msAgo} = fieldsOf(value);
  return isText(fingerprint) && isDuration(msAgo);
}

function fieldsOf(value: unknown): Fields {
  return typeof value === 'object' && value !== null ? (value as Fields) : {};
}

function isText(value: unknown): boolean {
  return typeof value === 'string' && value !== '';
}

function isDuration(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isOptionalDuration(value: unknown): boolean {
  return value === undefined || isDuration(value);
}

function isListOf(value: unknown, isItem: (item: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isItem);
}
