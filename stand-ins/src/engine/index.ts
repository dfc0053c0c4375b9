export {createEngineStandIn, type EngineStandIn} from './engine.js';
export {NO_FAULTS, type EngineFaults} from './faults.js';
export {
  expectedText,
  expectedTokens,
  promptTokens,
  tokenText,
  type ExpectedRequest,
} from './model.js';
export {BLOCK_TOKENS, blockIds} from './prefix-cache.js';
export type {EngineOptions} from './state.js';
