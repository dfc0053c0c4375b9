export * from './breaker.js';
export * from './hedge-delay.js';
export * from './hedge.js';
export * from './retry-budget.js';
