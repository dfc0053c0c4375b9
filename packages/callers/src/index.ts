export * from './app.js';
export type * from './ports.js';
