export * from './check-run.js';
export * from './quarantine.js';
export * from './rejected.js';
export * from './run-watch.js';
export * from './saved-bans.js';
