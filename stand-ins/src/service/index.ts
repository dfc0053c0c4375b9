export * from './run-log.js';
export * from './service.js';
