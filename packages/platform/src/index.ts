export * from './http-object-api.js';
export type * from './object-api.js';
export type * from './object-feed.js';
export * from './object-key.js';
export * from './store-version.js';
export * from './update-object.js';
