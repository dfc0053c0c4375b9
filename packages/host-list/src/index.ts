export * from './host-list.js';
