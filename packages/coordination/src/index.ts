export * from './contacts.js';
export * from './grant-table.js';
export * from './ranking.js';
export * from './remote-loads.js';
export * from './request-limits.js';
export * from './start-budget.js';
export type * from './types.js';
export * from './retry-pool.js';
export * from './window-counts.js';
