export * from './errors/index.js';
export * from './grants.js';
export * from './hash.js';
export * from './ids.js';
export * from './log-events/index.js';
export * from './logger.js';
export * from './random.js';
export * from './settings/index.js';
