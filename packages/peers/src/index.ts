export {createPeers} from './create-peers.js';
export type * from './peer-api.js';
