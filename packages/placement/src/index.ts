export * from './token-capacity.js';
export * from './placement-controller.js';
export * from './plan-layers.js';
