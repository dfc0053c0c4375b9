import type {AddressInfo} from 'node:net';
import {createCallersServer} from '@chivewick/callers';
import fc from 'fast-check';
import {settles} from '../core/escapes.js';
import {mutatedJson} from '../core/json-values.js';
import type {Target} from '../core/target.js';
import {checkHttp, checkValid} from '../http/check.js';
import {
  httpInputs,
  type HttpInput,
  type RequestParts,
} from '../http/requests.js';
import {CALLERS_KEY, createFakePorts} from './callers-ports.js';

const AUTHORIZED = [['authorization', `Bearer ${CALLERS_KEY}`]] as const;
const COMPLETION = {
  model: 'rota:formal',
  prompt: 'write',
  max_tokens: 8,
  stop: ['z'],
};
const CHAT = {
  model: 'rota',
  stream: true,
  stream_options: {include_usage: true},
  messages: [{role: 'user', content: [{type: 'text', text: 'hello'}]}],
};

const request = (
  method: string,
  path: string,
  body: unknown = '',
  headers: RequestParts['headers'] = [],
): RequestParts => ({
  method,
  path,
  headers: [...AUTHORIZED, ...headers],
  body: body === '' ? '' : JSON.stringify(body),
});

const VALID: readonly RequestParts[] = [
  request('GET', '/v1/models'),
  request('POST', '/v1/completions', COMPLETION),
  request('POST', '/v1/chat/completions', CHAT),
  request('GET', '/v1/requests/r/stream', '', [['last-event-id', 't.r/e/1/1']]),
  request('GET', '/v1/calls/swap-17'),
  request('GET', '/v1/services/bookings/slots?week=1'),
  request('POST', '/v1/services/bookings/slots', {week: 1}, [
    ['idempotency-key', 'swap-17'],
  ]),
];

const HEADERS = [
  'authorization',
  'last-event-id',
  'idempotency-key',
  'content-type',
  'expect',
  'upgrade',
  'traceparent',
];

/** The HTTP server for callers, with ports that respond immediately. */
export const callersTarget: Target<HttpInput> = {
  name: 'callers',
  property:
    'Every response is HTTP with a proper body or a JSON error of a known kind other than internal, no exception escapes, all permits and slots are released, and a valid request succeeds afterwards.',
  inputs: httpInputs(
    VALID,
    HEADERS,
    mutatedJson(fc.constantFrom<unknown>(COMPLETION, CHAT)).map(value =>
      Buffer.from(JSON.stringify(value)).toString('latin1'),
    ),
  ),
  runsInTests: 400,
  async open() {
    const {ports, held} = createFakePorts();
    const server = createCallersServer(ports);
    await new Promise<void>(r => server.listen(0, '127.0.0.1', r));
    const {port} = server.address() as AddressInfo;
    return {
      async check(input) {
        await checkHttp(port, input);
        await settles(() => held.permits === 0, 'a permit was not released');
        await settles(() => held.slots === 0, 'a slot was not released');
        await checkValid(port, VALID[1]);
      },
      close: () =>
        new Promise(resolve => {
          server.close(() => resolve());
          server.closeAllConnections();
        }),
    };
  },
};
