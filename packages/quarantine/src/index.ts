export {fingerprintOf, type FingerprintedRequest} from './fingerprint.js';
export * from './quarantine.js';
export {BAN_MS, type Ban, type Crash} from './suspects.js';
