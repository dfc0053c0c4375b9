export {createOrders} from './create-orders.js';
export {planEngines} from './plan.js';
export type * from './orders-api.js';
export type * from './plan-types.js';
export {createLease} from './lease.js';
export type {Lease} from './lease.js';
