import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {createServer} from 'node:http';
import {freePorts} from './ports.mjs';

const DELAY_MS = 4;
const MAX_WAIT_MS = 30_000;
const PAGE = 500;
/** Stands for a byte that is no UTF-8, which another writer has left in a string. */
export const UNREADABLE = '\u0000';

/** Encodes a response; strings are passed on with the bytes that they were written with. */
function encode(value) {
  const [first, ...rest] = JSON.stringify(value).split('\\u0000');
  const parts = [Buffer.from(first)];
  for (const part of rest) parts.push(Buffer.from([0xff]), Buffer.from(part));
  return Buffer.concat(parts);
}

/**
 * The platform's metadata store (PROTOCOL.md, "The platform's metadata store"): objects
 * by kind and name, one revision counter, watches, conditions on `rev`. It is linearizable
 * and never fails. All history is kept.
 */
export async function startStore() {
  let rev = 100;
  /** @type {Map<string, Map<string, object>>} */
  const kinds = new Map();
  const history = [];
  const waiting = new Set();
  const calls = [];

  const ofKind = kind => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };

  function record(kind, object, deleted) {
    history.push({kind, rev, event: {object, deleted}});
    for (const wake of [...waiting]) wake();
  }

  function write(kind, name, {spec, status, finalizers = []}) {
    rev += 1;
    const known = ofKind(kind).get(name);
    const object = {
      metadata: {
        name,
        rev,
        created: known?.metadata.created ?? rev,
        finalizers,
        deleting: false,
      },
      spec,
      status: status ?? known?.status ?? null,
    };
    ofKind(kind).set(name, object);
    record(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const known = ofKind(kind).get(name);
    if (known === undefined) return;
    rev += 1;
    ofKind(kind).delete(name);
    record(
      kind,
      {...known, metadata: {...known.metadata, rev, deleting: true}},
      true,
    );
  }

  function list(kind, query) {
    const after = query.get('after') ?? '';
    const names = [...ofKind(kind).keys()].sort().filter(name => name > after);
    const page = names.slice(0, PAGE);
    return {
      items: page.map(name => ofKind(kind).get(name)),
      hasMore: names.length > page.length,
      asOf: rev,
    };
  }

  async function watch(kind, query, req) {
    const since = Number(query.get('watch'));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('waitMs') ?? 0));
    const events = () =>
      history
        .filter(entry => entry.kind === kind && entry.rev > since)
        .map(entry => entry.event);
    const untilMs = performance.now() + waitMs;
    while (events().length === 0 && performance.now() < untilMs) {
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer);
          waiting.delete(done);
          req.socket.off('close', done);
          resolve();
        };
        const timer = setTimeout(
          done,
          Math.max(1, untilMs - performance.now()),
        );
        waiting.add(done);
        req.socket.once('close', done);
      });
      if (req.socket.destroyed) break;
    }
    return {events: events(), asOf: rev};
  }

  async function answer(method, kind, name, query, body, req) {
    if (method === 'GET' && name === undefined) {
      if (query.has('watch')) return [200, await watch(kind, query, req)];
      return [200, list(kind, query)];
    }
    if (method === 'POST') {
      const created = body.metadata.name;
      const known = ofKind(kind).get(created);
      if (known !== undefined) return [409, known];
      return [201, write(kind, created, body)];
    }
    const known = ofKind(kind).get(name);
    if (known === undefined) return [404, {}];
    if (method === 'GET') return [200, known];
    const expected = body?.metadata?.rev ?? query.get('rev');
    if (expected !== null && expected !== undefined)
      if (Number(expected) !== known.metadata.rev) return [409, known];
    if (method === 'DELETE') {
      remove(kind, name);
      return [200, known];
    }
    const isSame =
      JSON.stringify(known.spec) === JSON.stringify(body.spec) &&
      JSON.stringify(known.metadata.finalizers) ===
        JSON.stringify(body.metadata?.finalizers ?? []);
    if (isSame) return [200, known];
    return [
      200,
      write(kind, name, {
        spec: body.spec,
        finalizers: body.metadata?.finalizers,
      }),
    ];
  }

  const server = createServer((req, res) => {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', async () => {
      const url = new URL(req.url, 'http://store');
      const [, , , kind, name] = url.pathname
        .split('/')
        .map(decodeURIComponent);
      calls.push(`${req.method} ${req.url}`);
      const text = Buffer.concat(chunks).toString();
      const body = text === '' ? undefined : JSON.parse(text);
      await new Promise(resolve => setTimeout(resolve, DELAY_MS));
      const [status, value] = await answer(
        req.method,
        kind,
        name,
        url.searchParams,
        body,
        req,
      );
      res.writeHead(status, {'content-type': 'application/json'});
      res.end(encode(value));
    });
  });
  const port = await freePorts(1);
  await new Promise(resolve => server.listen(port, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${port}`,
    calls,
    put: (kind, name, spec) => write(kind, name, {spec}),
    remove,
    revision: () => rev,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
