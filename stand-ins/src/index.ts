export * from './common/faults.js';
export * from './common/serve.js';
export * from './host-list/index.js';
export * from './object-api/index.js';
export * from './peer-network/index.js';
export * from './service/index.js';
export * from './engine/index.js';
export * from './weight-store/index.js';
