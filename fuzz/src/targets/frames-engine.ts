import {fail, id, ok, type EndpointId} from '@chivewick/common';
import {
  parseFrames,
  type EngineApi,
  type SessionRequest,
} from '@chivewick/engines';
import fc from 'fast-check';
import {jsonValue} from '../core/json-values.js';
import {applyEdits, textEdits, type Edit} from '../core/mutate.js';

/** One change to the frames of a stream, before serialization. */
export type FrameEdit =
  | {readonly kind: 'drop'; readonly at: number}
  | {readonly kind: 'swap'; readonly at: number}
  | {readonly kind: 'repeat'; readonly at: number}
  | {readonly kind: 'insert'; readonly at: number; readonly frame: unknown}
  | {
      readonly kind: 'set';
      readonly at: number;
      readonly field: string;
      readonly value: unknown;
    };

/** How the stream of one attempt differs from the correct one. */
export interface AttemptScript {
  readonly frames: readonly FrameEdit[];
  readonly bytes: readonly Edit[];
  /** Lengths of the chunks in bytes; the rest is one chunk. */
  readonly chunks: readonly number[];
}

const FIELDS = [
  'type',
  'epoch',
  'position',
  'token',
  'text',
  'reason',
  'usage',
];
const FAULT_KINDS = [
  'next_stage_failed',
  'leaving',
  'overloaded',
  'not_loaded',
  'not_found',
];

const at = fc.nat(16);
const inserted = fc.oneof(
  fc.record({
    type: fc.constant('fault'),
    epoch: fc.integer({min: 0, max: 3}),
    kind: fc.oneof(fc.constantFrom(...FAULT_KINDS), jsonValue),
  }),
  fc.record({
    type: fc.constant('done'),
    epoch: fc.integer({min: 0, max: 3}),
    reason: fc.constant('stop'),
  }),
  jsonValue,
);
const frameEdit: fc.Arbitrary<FrameEdit> = fc.oneof(
  fc.record({kind: fc.constantFrom('drop', 'swap', 'repeat'), at}),
  fc.record({kind: fc.constant('insert' as const), at, frame: inserted}),
  fc.record({
    kind: fc.constant('set' as const),
    at,
    field: fc.constantFrom(...FIELDS),
    value: fc.oneof(fc.integer({min: -1, max: 40}), jsonValue),
  }),
);

/** Generates the changes to the stream of an attempt and its chunks. */
export const attemptScript: fc.Arbitrary<AttemptScript> = fc.record({
  frames: fc.array(frameEdit, {maxLength: 3}),
  bytes: fc.oneof(fc.constant([]), textEdits),
  chunks: fc.array(fc.integer({min: 1, max: 200}), {maxLength: 6}),
});

/** An engine that uses one script per attempt, then sends correct streams. */
export interface ScriptedEngine extends EngineApi {
  /** Epochs of the opened sessions, in order. */
  readonly opened: number[];
}

/**
 * Creates an engine for one request.
 *
 * @example
 * const engines = createScriptedEngine([{frames: [], bytes: [], chunks: [1]}]);
 */
export function createScriptedEngine(
  scripts: readonly AttemptScript[],
): ScriptedEngine {
  const opened: number[] = [];
  const notHeld = async () => fail('gone', 'not held');
  return {
    opened,
    open(req) {
      const script = scripts[opened.length];
      opened.push(req.epoch);
      return parseFrames(streamOf(req, script));
    },
    attach() {
      throw new Error('a new request is not attached');
    },
    cancel: async () => ok(undefined),
    session: notHeld,
    status: notHeld,
    exportKv: notHeld,
    importKv: notHeld,
    cacheEvents: async () => ok({events: [], next: 0}),
    order: notHeld,
  };
}

/** The only endpoint of every route. */
export const ENDPOINT = id<EndpointId>('e1');

async function* streamOf(
  req: SessionRequest,
  script: AttemptScript | undefined,
): AsyncGenerator<Uint8Array> {
  const frames = framesOf(req);
  const edited = (script?.frames ?? []).reduce(applyFrameEdit, frames);
  const text = edited.map(frame => `${JSON.stringify(frame)}\n`).join('');
  const bytes = Buffer.from(
    applyEdits(Buffer.from(text).toString('latin1'), script?.bytes ?? []),
    'latin1',
  );
  let start = 0;
  for (const length of script?.chunks ?? []) {
    if (start < bytes.length) yield bytes.subarray(start, start + length);
    start += length;
  }
  if (start < bytes.length) yield bytes.subarray(start);
}

function framesOf(req: SessionRequest): readonly unknown[] {
  const {epoch, prompt, generated, maxTokens} = req;
  const promptTokens = Buffer.byteLength(prompt);
  const first = promptTokens + generated.length;
  const count = Math.max(0, maxTokens - generated.length);
  const tokens = Array.from({length: count}, (_, n) => {
    const position = first + n;
    return {type: 'token', epoch, position, token: 256 + n, text: `é${n} `};
  });
  const usage = {promptTokens, generatedTokens: maxTokens};
  return [...tokens, {type: 'done', epoch, reason: 'length', usage}];
}

function applyFrameEdit(
  frames: readonly unknown[],
  edit: FrameEdit,
): readonly unknown[] {
  if (frames.length === 0) return frames;
  const place = edit.at % frames.length;
  const [before, frame, after] = [
    frames.slice(0, place),
    frames[place],
    frames.slice(place + 1),
  ];
  switch (edit.kind) {
    case 'drop':
      return [...before, ...after];
    case 'repeat':
      return [...before, frame, frame, ...after];
    case 'swap':
      return [...before, ...after.slice(0, 1), frame, ...after.slice(1)];
    case 'insert':
      return [...before, edit.frame, frame, ...after];
    case 'set': {
      const changed = {...Object(frame), [edit.field]: edit.value} as object;
      return [...before, changed, ...after];
    }
  }
}
