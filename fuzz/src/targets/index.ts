import type {AnyTarget} from '../core/target.js';
import {callersTarget} from './callers.js';
import {framesTarget} from './frames.js';
import {listsTarget} from './lists.js';
import {messagesTarget} from './messages.js';
import {operatorsTarget} from './operators.js';
import {peersTarget} from './peers.js';
import {textsTarget} from './texts.js';

/** All fuzz targets. */
export const TARGETS: readonly AnyTarget[] = [
  callersTarget,
  operatorsTarget,
  peersTarget,
  listsTarget,
  framesTarget,
  textsTarget,
  messagesTarget,
];
