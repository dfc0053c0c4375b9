export * from './quarantine.js';
export * from './saved-bans.js';
