import assert from 'node:assert/strict';
import {nextTurn} from '../core/escapes.js';
import type {Target} from '../core/target.js';
import {createMessageHost, type MessageHost} from './messages-host.js';
import {badMessages, type BadMessage} from './messages-schemas.js';

/** Event loop turns in which a handler may have effects after its response. */
const EFFECT_TURNS = 10;

/** The handlers of messages between hosts. */
export const messagesTarget: Target<BadMessage> = {
  name: 'messages',
  property:
    'A message with a field of a wrong type is refused with an error, and the lists, members, allocations, partitions, bans and stored objects stay as they were.',
  inputs: badMessages,
  runsInTests: 1_000,
  async open() {
    const host = await createMessageHost();
    return {
      check: message => checkRefused(host, message),
      close: () => host.close(),
    };
  },
};

async function checkRefused(
  host: MessageHost,
  {method, params}: BadMessage,
): Promise<void> {
  const before = host.state();
  const refused = await host.receive(method, params).then(
    () => false,
    () => true,
  );
  for (let turn = 0; turn < EFFECT_TURNS; turn += 1) await nextTurn();
  assert.equal(host.state(), before, `${method} changed the state`);
  assert(refused, `${method} was not refused`);
}
