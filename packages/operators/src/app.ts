import {randomUUID} from 'node:crypto';
import type {RequestListener, Server} from 'node:http';
import {App, type Request, type Response} from '@tinyhttp/app';
import {
  createJsonServer,
  failure,
  isDecodablePath,
  toFailure,
} from '@chivewick/common';
import {findAdminKey} from './auth.js';
import type {OperatorsOptions} from './options.js';
import {errorBody, sendResponse, sendFailure} from './respond.js';
import {ADMIN_ROUTES, type AdminRoute} from './routes.js';

/** The administration API as a listener of `node:http`. */
export interface OperatorsApp {
  readonly attach: RequestListener;
}

/**
 * Creates the HTTP administration API, which the daemon serves on the
 * administration address. All routes except `/livez` and `/readyz` require an
 * administration key. Errors have the format given in section 4.1 of the design
 * page.
 *
 * @example
 * const app = createOperatorsApp({self, keys, objects, log, ...views});
 * createServer(app.attach).listen(8901, '127.0.0.1');
 */
export function createOperatorsApp(options: OperatorsOptions): OperatorsApp {
  const app = new App({
    settings: {xPoweredBy: false},
    applyExtensions: (_req, _res, next) => next(),
    noMatchHandler: (req, res) => refuseUnknownPath(req, res),
    onError: (err, _req, res) => sendFailure(res, toFailure(err), randomUUID()),
  });
  app.use((req, res, next) => {
    if (isDecodablePath(req.url)) return next();
    const err = failure('invalid_request', 'the path is not valid UTF-8');
    sendFailure(res, err, randomUUID());
  });
  for (const route of ADMIN_ROUTES) {
    const method = route.method === 'GET' ? 'get' : 'put';
    app[method](route.path, (req: Request, res: Response) =>
      handleRoute(options, route, req, res),
    );
  }
  for (const path of new Set(ADMIN_ROUTES.map(route => route.path)))
    app.all(path, (_req: Request, res: Response) => refuseMethod(path, res));
  return {attach: (req, res) => app.attach(req as Request, res as Response)};
}

/**
 * Creates the HTTP server of the administration API, not yet listening.
 *
 * @example
 * const server = createOperatorsServer({self, keys, objects, log, ...views});
 * server.listen(8901, '127.0.0.1');
 */
export function createOperatorsServer(options: OperatorsOptions): Server {
  return createJsonServer({
    listener: createOperatorsApp(options).attach,
    errorBody: err => errorBody(err, randomUUID()),
  });
}

async function handleRoute(
  options: OperatorsOptions,
  route: AdminRoute,
  req: Request,
  res: Response,
): Promise<void> {
  const requestId = randomUUID();
  try {
    const key = findAdminKey(req.headers.authorization, options.keys);
    if (route.allowsAnonymous !== true && key === undefined) {
      const {remoteAddress} = req.socket;
      options.log.event('administrationKeyRefused', {
        remoteAddress,
        path: req.path,
      });
      const err = failure('unauthenticated', 'missing or unknown key', {
        hint: 'Send an administration key as "Authorization: Bearer <key>".',
      });
      return sendFailure(res, err, requestId);
    }
    const query = new URL(req.url, 'http://host').searchParams;
    const params = req.params;
    const result = await route.handle({req, params, query, key, options});
    if (result.ok) return sendResponse(res, result.value);
    sendFailure(res, result.err, requestId);
  } catch (thrown) {
    const err = toFailure(thrown);
    const {method, path} = route;
    const fields = {requestId, method, path, message: err.message};
    options.log.event('administrationFailed', fields);
    sendFailure(res, err, requestId);
  }
}

function refuseMethod(path: string, res: Response): void {
  const allowed = ADMIN_ROUTES.filter(route => route.path === path)
    .map(route => route.method)
    .join(', ');
  res.setHeader('allow', allowed);
  const err = failure('method_not_allowed', `${path} takes ${allowed}`);
  sendFailure(res, err, randomUUID());
}

function refuseUnknownPath(req: Request, res: Response): void {
  const err = failure('not_found', `there is no ${req.url}`, {
    hint: 'See docs/operators/openapi.yaml for the routes.',
  });
  sendFailure(res, err, randomUUID());
}
