import {checkResponse, splitResponses, type HttpResponse} from './responses.js';
import {exchangeBytes, exchangeRequest} from './exchange.js';
import {formatRequest, type HttpInput, type RequestParts} from './requests.js';

/**
 * Sends an input and checks every response; a request with correct framing must
 * get exactly one. Returns the responses.
 *
 * @example
 * await checkHttp(port, {kind: 'raw', bytes: 'GET'});
 */
export async function checkHttp(
  port: number,
  input: HttpInput,
): Promise<HttpResponse[]> {
  if (input.kind === 'raw') {
    const bytes = await exchangeBytes(port, input.bytes);
    const responses = splitResponses(bytes, {mayEndEarly: true});
    responses.forEach(checkResponse);
    return responses;
  }
  const bytes = await exchangeRequest(port, formatRequest(input.request));
  const responses = splitResponses(bytes, {mayEndEarly: false});
  if (responses.length !== 1)
    throw new Error(`expected 1 response, got ${responses.length}`);
  responses.forEach(checkResponse);
  return responses;
}

/**
 * Checks that a valid request gets status 200.
 *
 * @example
 * await checkValid(port, {method: 'GET', path: '/livez', headers: [], body: ''});
 */
export async function checkValid(
  port: number,
  request: RequestParts,
): Promise<void> {
  const [response] = await checkHttp(port, {kind: 'request', request});
  if (response.status !== 200)
    throw new Error(`a valid request got ${response.status}: ${response.body}`);
}
