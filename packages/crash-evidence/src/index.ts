export * from './crash-evidence.js';
export {partFingerprint, requestFingerprint} from './fingerprints.js';
export * from './parse-report.js';
export * from './types.js';
