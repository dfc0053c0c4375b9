import type {LogEvent} from './types.js';

/** Events 500 to 599: model requests and their recovery. */
export const PIPELINE_EVENTS = {
  stageFault: {number: 500, level: 'warn', message: 'pipeline stage failed'},
  pipelineRecovered: {
    number: 501,
    level: 'info',
    message: 'pipeline resumed on another route',
  },
  movePrepared: {
    number: 502,
    level: 'info',
    message: 'KV cache moved; the route changes at the next token',
  },
  moveNotPossible: {
    number: 503,
    level: 'warn',
    message: 'request stays on an endpoint that it should leave',
  },
  streamResumed: {
    number: 504,
    level: 'info',
    message: 'stream of another host resumed',
  },
  requestFailed: {
    number: 505,
    level: 'warn',
    message: 'model request failed',
  },
} as const satisfies Record<string, LogEvent>;
