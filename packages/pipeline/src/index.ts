export {formatEventId, parseEventId, type EventId} from './event-id.js';
export {createPipeline, type Pipeline} from './pipeline.js';
export type * from './types.js';
