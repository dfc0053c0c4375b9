export * from './host-faults.js';
export * from './suspendable-network.js';
export * from './suspendable-store.js';
export * from './suspendable-time.js';
