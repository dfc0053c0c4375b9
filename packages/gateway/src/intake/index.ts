export * from './body-buffer.js';
export * from './byte-budget.js';
export * from './connections.js';
export * from './limits.js';
export * from './read-in-pieces.js';
export * from './reading-turns.js';
