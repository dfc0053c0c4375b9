import type {IncomingMessage} from 'node:http';
import {
  fail,
  id,
  ok,
  type ModelName,
  type RequestId,
  type Result,
  type WorkspaceId,
} from '@chivewick/common';
import type {ListName} from '@chivewick/lists';
import {readJsonBody} from './body.js';
import {getHistory, getHistoryVersion, getList, putList} from './lists-api.js';
import {LIST_NAMES, type AdminKey, type OperatorsOptions} from './options.js';
import type {AdminResponse} from './respond.js';

const MAX_BODY_BYTES = 1_000_000;
const BODY_DEADLINE_MS = 10_000;
const ETAG = /^"(\d{1,15})"$/;

/** A request to one route of the administration API. */
export interface AdminRequest {
  readonly req: IncomingMessage;
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  /** The administration key of the request; may be undefined on open routes. */
  readonly key?: AdminKey;
  readonly options: OperatorsOptions;
}

/** A route of the administration API. */
export interface AdminRoute {
  readonly method: 'GET' | 'PUT';
  /** Path in the router's notation, such as `/admin/requests/:id`. */
  readonly path: string;
  /** Whether the route is available without an administration key. */
  readonly allowsAnonymous?: boolean;
  readonly handle: (adminReq: AdminRequest) => Promise<Result<AdminResponse>>;
}

/** Every route of the administration API. */
export const ADMIN_ROUTES: readonly AdminRoute[] = [
  {
    method: 'GET',
    path: '/livez',
    allowsAnonymous: true,
    handle: async () => ok({json: {live: true}}),
  },
  {method: 'GET', path: '/readyz', allowsAnonymous: true, handle: handleReadyz},
  {
    method: 'GET',
    path: '/metrics',
    handle: async ({options}) =>
      ok({
        headers: {'content-type': 'text/plain; version=0.0.4; charset=utf-8'},
        text: await options.metrics(),
      }),
  },
  {method: 'GET', path: '/admin/lists/:list', handle: withList(getList)},
  {method: 'PUT', path: '/admin/lists/:list', handle: handlePut},
  {
    method: 'GET',
    path: '/admin/lists/:list/history',
    handle: withList(getHistory),
  },
  {
    method: 'GET',
    path: '/admin/lists/:list/history/:version',
    handle: handleHistoryVersion,
  },
  {
    method: 'GET',
    path: '/admin/status',
    handle: async ({options}) =>
      ok({json: {host: options.self, hosts: await options.versions()}}),
  },
  {
    method: 'GET',
    path: '/admin/hosts',
    handle: async ({options}) => ok({json: {hosts: options.hosts()}}),
  },
  {
    method: 'GET',
    path: '/admin/endpoints',
    handle: async ({options}) => ok({json: {endpoints: options.endpoints()}}),
  },
  {
    method: 'GET',
    path: '/admin/routes/:model',
    handle: async ({options, params}) =>
      jsonResponse(await options.routes(id<ModelName>(params.model))),
  },
  {method: 'GET', path: '/admin/requests/:id', handle: handleRequest},
  {
    method: 'GET',
    path: '/admin/calls/:workspace/:key',
    handle: async ({options, params}) =>
      jsonResponse(
        await options.call(id<WorkspaceId>(params.workspace), params.key),
      ),
  },
  {
    method: 'GET',
    path: '/admin/quarantine',
    handle: async ({options}) => {
      const bans = await options.quarantine();
      return bans.ok ? ok({json: {quarantined: bans.value}}) : bans;
    },
  },
];

async function handleReadyz({
  options,
}: AdminRequest): Promise<Result<AdminResponse>> {
  const readiness = options.readiness();
  return ok({status: readiness.ready ? 200 : 503, json: readiness});
}

async function handleRequest({
  options,
  params,
}: AdminRequest): Promise<Result<AdminResponse>> {
  const found = await options.request(id<RequestId>(params.id));
  if (found === undefined)
    return fail('not_found', `${options.self} knows no request ${params.id}`, {
      hint: 'Each host knows only the requests it ran; ask the other hosts.',
    });
  return ok({json: found});
}

async function handlePut(
  adminReq: AdminRequest,
): Promise<Result<AdminResponse>> {
  const {options, req, query} = adminReq;
  return withList(async (_options, list) => {
    const expected = expectedVersion(req);
    if (!expected.ok) return expected;
    const body = await readJsonBody(
      req,
      options.maxBodyBytes ?? MAX_BODY_BYTES,
      options.bodyDeadlineMs ?? BODY_DEADLINE_MS,
    );
    if (!body.ok) return body;
    return putList(options, {
      list,
      value: body.value,
      expected: expected.value,
      dryRun: query.get('dryRun') === '1',
      by: adminReq.key?.name ?? 'unknown',
    });
  })(adminReq);
}

async function handleHistoryVersion(
  adminReq: AdminRequest,
): Promise<Result<AdminResponse>> {
  const version = Number(adminReq.params.version);
  if (!Number.isSafeInteger(version) || version < 1)
    return fail('invalid_request', 'the version must be a positive integer');
  return withList((options, list) => getHistoryVersion(options, list, version))(
    adminReq,
  );
}

function withList(
  handle: (
    options: OperatorsOptions,
    list: ListName,
  ) => Promise<Result<AdminResponse>>,
): (adminReq: AdminRequest) => Promise<Result<AdminResponse>> {
  return async ({options, params}) => {
    const list = LIST_NAMES.find(name => name === params.list);
    if (list === undefined)
      return fail('not_found', `there is no list ${params.list}`, {
        hint: `The lists are ${LIST_NAMES.join(' and ')}.`,
      });
    return handle(options, list);
  };
}

function expectedVersion({headers}: IncomingMessage): Result<number> {
  if (headers['if-match'] === undefined && headers['if-none-match'] === '*')
    return ok(0);
  const version = ETAG.exec(headers['if-match'] ?? '')?.[1];
  if (version !== undefined) return ok(Number(version));
  return fail(
    'invalid_request',
    'If-Match must be the ETag of the version the edit is based on, such as "12"',
    {hint: 'Send the ETag of GET, or If-None-Match: * for a new list.'},
  );
}

function jsonResponse(result: Result<unknown>): Result<AdminResponse> {
  return result.ok ? ok({json: result.value}) : result;
}
