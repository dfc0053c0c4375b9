import assert from 'node:assert/strict';
import {hostSettingsSchema, id, parseYaml} from '@chivewick/common';
import {formatEventId, parseEventId} from '@chivewick/pipeline';
import fc from 'fast-check';
import {stringify} from 'yaml';
import {mutatedJson} from '../core/json-values.js';
import {latin1, mutated} from '../core/mutate.js';
import type {Target} from '../core/target.js';

/** A string that a caller or an operator supplies. */
type TextsInput =
  | {readonly kind: 'event_id'; readonly text: string}
  | {
      readonly kind: 'event';
      readonly request: string;
      readonly head: string;
      readonly epoch: number;
      readonly position: number;
    }
  | {readonly kind: 'settings'; readonly text: string};

const SETTINGS = {
  firm: 'diocese',
  host: 'nav-a-1',
  failureDomain: 'nav-a',
  callers: {listen: '127.0.0.1:8080'},
  operators: {
    listen: '127.0.0.1:8901',
    keys: [{name: 'maria', sha256: '0'.repeat(64)}],
  },
  peers: {
    listen: '127.0.0.1:7400',
    secret: 'a shared secret of the firm',
    hosts: {'nav-b-1': '127.0.0.1:7401'},
  },
  platform: {objectApi: '127.0.0.1:7001', hostList: '127.0.0.1:7002'},
};

const MAX_COUNT = 999_999_999;
const name = fc.oneof(
  fc.string({minLength: 1, maxLength: 12}),
  fc.constantFrom('%', '/', '%2f', 'a/b', '..', 'é', '__proto__'),
);
const settingsText = fc.oneof(
  mutated(fc.constant(stringify(SETTINGS))),
  mutatedJson(fc.constant(SETTINGS)).map(value => stringify(value)),
  latin1(64),
);

/** Event ids and settings files. */
export const textsTarget: Target<TextsInput> = {
  name: 'texts',
  property:
    'Parsing never throws; every formatted event id is parsed to the same event; accepted settings are accepted unchanged when read back; refused settings name a line.',
  inputs: fc.oneof(
    fc
      .oneof(mutated(fc.constant('req-1/e%2f1/2/41')), latin1(32))
      .map(text => ({kind: 'event_id' as const, text})),
    fc.record({
      kind: fc.constant('event' as const),
      request: name,
      head: name,
      epoch: fc.nat(MAX_COUNT),
      position: fc.nat(MAX_COUNT),
    }),
    settingsText.map(text => ({kind: 'settings' as const, text})),
  ),
  runsInTests: 2_000,
  async open() {
    return {
      async check(input) {
        switch (input.kind) {
          case 'event_id':
            return checkEventId(input.text);
          case 'event':
            return checkEvent(input);
          case 'settings':
            return checkSettings(input.text);
        }
      },
      close: async () => {},
    };
  },
};

function checkEventId(text: string): void {
  const event = parseEventId(text);
  if (event === undefined) return;
  assert.deepEqual(parseEventId(formatEventId(event)), event);
}

function checkEvent(input: TextsInput & {kind: 'event'}): void {
  const {epoch, position} = input;
  const event = {
    request: id<Parameters<typeof formatEventId>[0]['request']>(input.request),
    head: id<Parameters<typeof formatEventId>[0]['head']>(input.head),
    epoch,
    position,
  };
  const text = formatEventId(event);
  assert.match(text, /^[\x21-\x7e]+$/, 'the id does not fit in a header');
  assert.deepEqual(parseEventId(text), event);
}

function checkSettings(text: string): void {
  const parsed = parseYaml('host.yaml', text, hostSettingsSchema);
  if (!parsed.ok) {
    assert(parsed.faults.length > 0, 'refused without an error');
    for (const {line} of parsed.faults)
      assert(Number.isInteger(line) && line > 0, `line ${line}`);
    return;
  }
  const again = parseYaml('again', stringify(parsed.value), hostSettingsSchema);
  assert(again.ok, 'accepted settings are refused when read back');
  assert.deepEqual(again.value, parsed.value);
}
