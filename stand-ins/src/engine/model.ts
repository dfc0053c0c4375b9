/**
 * Model of the engine stand-in: a hash chain through every layer and position,
 * so that a skipped, repeated or reordered layer or token changes every later
 * token.
 */
import {hash32} from '@chivewick/common';

/** Lowest id of a generated token; lower ids are UTF-8 bytes of the prompt. */
export const FIRST_GENERATED_TOKEN = 256;

const ADJECTIVES =
  'amber autumn blue bright calm cedar clear cool copper early fair fresh gentle golden green ivory late light lunar mellow noble pale plain quiet red silver soft still tall violet warm white'.split(
    ' ',
  );
const NOUNS =
  'aisle altar arch aster beam bell bloom bowl briar cloister daisy eave fern gate iris lantern lily maple moss nave orchid pagoda pine poppy roof rose shrine stone temple tile tower vase'.split(
    ' ',
  );
const VOCABULARY = ADJECTIVES.length * NOUNS.length;

/** Selects the weights and the prefix cache. */
export interface ModelChoice {
  /** Keeps prefix caches apart; does not change the computation. */
  readonly workspace?: string;
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
}

/**
 * Returns the seed of the hash chain for a model, version and adapter.
 *
 * @example
 * const seed = modelSeed({model: 'rota-draft', version: 'v1', adapter: ''});
 */
export function modelSeed(choice: ModelChoice): number {
  return hash32(`${choice.model}\n${choice.version}\n${choice.adapter}`);
}

/**
 * Returns the tokens of a prompt: its UTF-8 bytes.
 *
 * @example
 * promptTokens('ab'); // [97, 98]
 */
export function promptTokens(prompt: string): number[] {
  return [...Buffer.from(prompt, 'utf8')];
}

/**
 * Returns the input activation of layer 0 for a token at a position.
 *
 * @example
 * const x = embed(seed, 97, 0);
 */
export function embed(seed: number, token: number, position: number): number {
  return hash32(`e${token}.${position}`, seed);
}

/**
 * Runs one layer at one position. `previous` is the layer's KV entry at the
 * previous position (0 at position 0); the result is both the layer's output and
 * its KV entry.
 *
 * @example
 * const y = runLayer(seed, 0, 5, x, kv[4]);
 */
export function runLayer(
  seed: number,
  layer: number,
  position: number,
  input: number,
  previous: number,
): number {
  return hash32(`${input}.${previous}.${layer}.${position}`, seed);
}

/**
 * Samples a token from the last layer's output. With an epoch, the token differs
 * between epochs, as on an engine with random sampling.
 *
 * @example
 * const token = sample(activation); // 256 or above
 */
export function sample(activation: number, epoch?: number): number {
  const value =
    epoch === undefined ? activation : hash32(`s${activation}.${epoch}`);
  return FIRST_GENERATED_TOKEN + (value % VOCABULARY);
}

/**
 * Returns the text of a token: a word with a leading space, or the byte of a prompt
 * token.
 *
 * @example
 * tokenText(256); // ' amber-aisle'
 */
export function tokenText(token: number): string {
  if (token < FIRST_GENERATED_TOKEN) return String.fromCharCode(token);
  const word = (token - FIRST_GENERATED_TOKEN) % VOCABULARY;
  const adjective = ADJECTIVES[Math.floor(word / NOUNS.length)];
  return ` ${adjective}-${NOUNS[word % NOUNS.length]}`;
}

/** Everything that determines the output of the model. */
export interface ExpectedRequest extends ModelChoice {
  /** Number of layers of the whole model. */
  readonly layers: number;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Epoch of each generated token, for engines that sample by epoch. */
  readonly epochs?: readonly number[];
}

/**
 * Returns the tokens that a run without faults generates.
 *
 * @example
 * const tokens = expectedTokens({model: 'm', version: 'v1', adapter: '', layers: 4, prompt: 'hi', maxTokens: 3});
 */
export function expectedTokens(req: ExpectedRequest): number[] {
  const seed = modelSeed(req);
  const tokens = promptTokens(req.prompt);
  const kv = new Array<number>(req.layers).fill(0);
  const generated: number[] = [];
  for (let position = 0; generated.length < req.maxTokens; position += 1) {
    let x = embed(seed, tokens[position], position);
    for (let layer = 0; layer < req.layers; layer += 1) {
      x = runLayer(seed, layer, position, x, kv[layer]);
      kv[layer] = x;
    }
    if (position + 1 < tokens.length) continue;
    const token = sample(x, req.epochs?.[generated.length]);
    tokens.push(token);
    generated.push(token);
  }
  return generated;
}

/**
 * Returns the text that a run without faults generates.
 *
 * @example
 * const text = expectedText({model: 'm', version: 'v1', adapter: '', layers: 4, prompt: 'hi', maxTokens: 3});
 */
export function expectedText(req: ExpectedRequest): string {
  return expectedTokens(req).map(tokenText).join('');
}
