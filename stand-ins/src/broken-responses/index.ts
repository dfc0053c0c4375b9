export {
  brokenResponses,
  soundResponses,
  writeResponse,
  type BrokenRule,
  type Delivery,
  type ResponseParts,
  type WrittenResponse,
} from './broken-responses.js';
