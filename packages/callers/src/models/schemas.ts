import {z} from 'zod';

const DEFAULT_MAX_TOKENS = 128;
const MAX_TOKENS_LIMIT = 16_384;

const maxTokens = z.int().min(1).max(MAX_TOKENS_LIMIT);

const stop = z
  .union([z.string().min(1), z.array(z.string().min(1)).max(4)])
  .nullish()
  .transform(value => (typeof value === 'string' ? [value] : (value ?? [])));

// Fields that OpenAI-compatible clients send but the engines' own sampling
// ignores, such as temperature, are accepted and not read.
const common = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  stream_options: z
    .looseObject({include_usage: z.boolean().optional()})
    .nullish(),
  n: z.literal(1).nullish(),
  stop,
  max_tokens: maxTokens.nullish(),
};

/** Body of `POST /v1/completions`. */
export const completionSchema = z
  .looseObject({
    ...common,
    prompt: z.union([z.string(), z.array(z.string()).length(1)]),
  })
  .transform(body => ({
    model: body.model,
    prompt: typeof body.prompt === 'string' ? body.prompt : body.prompt[0],
    ...sharedFields(body),
  }));

const contentPart = z.looseObject({type: z.literal('text'), text: z.string()});

const message = z.looseObject({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
  content: z.union([z.string(), z.array(contentPart)]),
});

/** Body of `POST /v1/chat/completions`. */
export const chatSchema = z
  .looseObject({
    ...common,
    messages: z.array(message).min(1),
    max_completion_tokens: maxTokens.nullish(),
  })
  .transform(body => ({
    model: body.model,
    prompt: promptOf(body.messages),
    ...sharedFields({
      ...body,
      max_tokens: body.max_completion_tokens ?? body.max_tokens,
    }),
  }));

/** Normalized form of both request bodies. */
export interface Generation {
  /** `model` or `model:adapter`. */
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
  readonly stop: readonly string[];
}

interface SharedBody {
  stream?: boolean | null;
  stream_options?: {include_usage?: boolean} | null;
  stop: string[];
  max_tokens?: number | null;
}

function sharedFields(body: SharedBody) {
  return {
    maxTokens: body.max_tokens ?? DEFAULT_MAX_TOKENS,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
    stop: body.stop,
  };
}

/** Joins chat messages into the prompt that the model continues. */
export function promptOf(messages: readonly z.infer<typeof message>[]): string {
  const lines = messages.map(({role, content}) => {
    const text =
      typeof content === 'string'
        ? content
        : content.map(part => part.text).join('');
    return `${role}: ${text}\n`;
  });
  return `${lines.join('')}assistant:`;
}
