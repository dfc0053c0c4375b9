export * from './cover.js';
export * from './placement-duty.js';
export * from './plan-layers.js';
