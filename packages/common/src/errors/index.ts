export * from './failure.js';
export * from './kinds.js';
