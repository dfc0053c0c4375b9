export {createMembership} from './create-membership.js';
export type * from './membership-api.js';
