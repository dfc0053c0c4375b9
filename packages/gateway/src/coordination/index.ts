export type {RepairChoice, RepairNeed} from './ask-repair.js';
export * from './coordination.js';
export type {PathAnswer, PathAsk} from './messages.js';
export type {PathNeed, PathWork} from './path-asker.js';
