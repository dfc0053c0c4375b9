export type * from './engine-api.js';
export {parseFrames} from './frames.js';
export {createEngineApi} from './http-engine-api.js';
export {parseJsonLines} from './ndjson.js';
