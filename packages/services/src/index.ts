export type * from './service-api.js';
export * from './http-service-api.js';
