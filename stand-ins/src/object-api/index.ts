export * from './object-api.js';
