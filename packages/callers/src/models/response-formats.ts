import type {RequestId} from '@chivewick/common';
import type {Usage} from '../ports.js';

export type FinishReason = 'stop' | 'length';

/** Builds the response bodies of one OpenAI-compatible API. */
export interface ResponseFormat {
  chunk(text: string, finish: FinishReason | null): object;
  usageChunk(usage: Usage): object;
  complete(text: string, finish: FinishReason, usage: Usage): object;
}

const MS_PER_SECOND = 1_000;

function usageOf(usage: Usage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.generatedTokens,
    total_tokens: usage.promptTokens + usage.generatedTokens,
  };
}

function base(id: RequestId, object: string, model: string): object {
  const created = Math.floor(Date.now() / MS_PER_SECOND);
  return {id, object, created, model};
}

/** Response format of `POST /v1/completions`. */
export function completionFormat(id: RequestId, model: string): ResponseFormat {
  const head = base(id, 'text_completion', model);
  const choice = (text: string, finish: FinishReason | null) => [
    {index: 0, text, logprobs: null, finish_reason: finish},
  ];
  return {
    chunk: (text, finish) => ({...head, choices: choice(text, finish)}),
    usageChunk: usage => ({...head, choices: [], usage: usageOf(usage)}),
    complete: (text, finish, usage) => ({
      ...head,
      choices: choice(text, finish),
      usage: usageOf(usage),
    }),
  };
}

/** Response format of `POST /v1/chat/completions`. */
export function chatFormat(id: RequestId, model: string): ResponseFormat {
  const chunkHead = base(id, 'chat.completion.chunk', model);
  let first = true;
  return {
    chunk(text, finish) {
      const delta = {
        ...(first && {role: 'assistant'}),
        ...((first || text !== '') && {content: text}),
      };
      first = false;
      const choice = {index: 0, delta, logprobs: null, finish_reason: finish};
      return {...chunkHead, choices: [choice]};
    },
    usageChunk: usage => ({...chunkHead, choices: [], usage: usageOf(usage)}),
    complete: (text, finish, usage) => ({
      ...base(id, 'chat.completion', model),
      choices: [
        {
          index: 0,
          message: {role: 'assistant', content: text},
          logprobs: null,
          finish_reason: finish,
        },
      ],
      usage: usageOf(usage),
    }),
  };
}

/** Response formats by the letter that prefixes event ids. */
export const RESPONSE_FORMATS = {t: completionFormat, c: chatFormat} as const;

export type FormatLetter = keyof typeof RESPONSE_FORMATS;
