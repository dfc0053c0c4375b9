import {createJsonServer, failure, isDecodablePath} from '@chivewick/common';
import {App} from '@tinyhttp/app';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {errorBody, sendFailure} from './http/responses.js';
import {assignRequestId} from './http/request-context.js';
import {
  generationHandler,
  handle,
  listModels,
  resumeStream,
  type Handler,
} from './models/routes.js';
import type {CallersPorts, RequestClass} from './ports.js';
import {callService, lookUpCall} from './services/routes.js';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const ANY_METHOD = 'ANY';

interface RouteEntry {
  readonly method: string;
  readonly path: string;
  readonly class: RequestClass;
  readonly handler: Handler;
}

const ROUTES: readonly RouteEntry[] = [
  {
    method: 'POST',
    path: '/v1/completions',
    class: 'draft',
    handler: generationHandler('t'),
  },
  {
    method: 'POST',
    path: '/v1/chat/completions',
    class: 'draft',
    handler: generationHandler('c'),
  },
  {method: 'GET', path: '/v1/models', class: 'lookup', handler: listModels},
  {
    method: 'GET',
    path: '/v1/requests/:id/stream',
    class: 'draft',
    handler: resumeStream,
  },
  {method: 'GET', path: '/v1/calls/*', class: 'lookup', handler: lookUpCall},
  {
    method: ANY_METHOD,
    path: '/v1/services/*',
    class: 'call',
    handler: callService,
  },
];

/**
 * Creates the HTTP server of the callers' API (section 4.1 of the design page).
 * The server is not listening yet.
 *
 * @example
 * const server = createCallersServer(ports);
 * server.listen(8080, '10.0.0.7');
 */
export function createCallersServer(ports: CallersPorts): Server {
  const app = new App({
    noMatchHandler: (req, res) => {
      const requestId = assignRequestId(res as unknown as ServerResponse);
      const err = failure(
        'not_found',
        `no resource at ${req.method} ${req.path}`,
      );
      sendFailure(res as unknown as ServerResponse, err, requestId);
    },
    onError: (err, _req, res) => {
      const response = res as unknown as ServerResponse;
      const requestId = assignRequestId(response);
      const message = err instanceof Error ? err.message : String(err);
      sendFailure(response, failure('invalid_request', message), requestId);
    },
  });
  app.use((req, res, next) => {
    if (isDecodablePath(req.url)) return void next?.();
    const response = res as unknown as ServerResponse;
    const err = failure(
      'invalid_request',
      'the path has an invalid percent-encoding',
    );
    sendFailure(response, err, assignRequestId(response));
  });
  for (const route of ROUTES) {
    app.all(route.path, (req, res) =>
      serve(
        ports,
        route,
        req as unknown as IncomingMessage,
        res as unknown as ServerResponse,
      ),
    );
  }
  return createJsonServer({
    limits: {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
    },
    listener: (req, res) => app.handler(req as never, res as never),
    errorBody: err => errorBody(err, ''),
  });
}

async function serve(
  ports: CallersPorts,
  route: RouteEntry,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const startedAt = performance.now();
  const requestId = assignRequestId(res);
  const wrongMethod =
    route.method !== ANY_METHOD && route.method !== req.method;
  if (wrongMethod) {
    res.setHeader('allow', route.method);
    const message = `${route.path} accepts only ${route.method}`;
    sendFailure(res, failure('method_not_allowed', message), requestId);
    return;
  }
  const {outcome, ctx} = await handle(
    ports,
    req,
    res,
    requestId,
    route.handler,
  );
  ports.onRequestFinished({
    requestId,
    class: route.class,
    workspace: ctx?.grant.workspace,
    outcome,
    durationMs: performance.now() - startedAt,
  });
}
