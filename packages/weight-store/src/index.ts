export * from './weight-store.js';
