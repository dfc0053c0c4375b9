export * from './harness.js';
