export * from './peer-network.js';
export * from './simulated-time.js';
