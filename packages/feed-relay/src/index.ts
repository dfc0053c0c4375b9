export * from './change-log.js';
export * from './relayed-feed.js';
