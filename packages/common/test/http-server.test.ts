// Guards against requests that run after the server has refused them, or that are refused
// while they run.
import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {after, test} from 'node:test';
import {createJsonServer} from '../src/index.js';

const HEAD = 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n';
const servers: ReturnType<typeof createJsonServer>[] = [];

after(() => servers.forEach(server => server.close()));

async function start(): Promise<{
  socket: Socket;
  responses: ServerResponse[];
  /** Reports the head of the next request as late. */
  reportLateHead: () => void;
}> {
  const responses: ServerResponse[] = [];
  const server = createJsonServer({
    listener: (_req, res) => void responses.push(res),
    errorBody: ({kind}) => ({kind}),
  });
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.on('error', () => {});
  const [accepted] = (await once(server, 'connection')) as [Socket];
  const late = Object.assign(new Error('late'), {
    code: 'ERR_HTTP_REQUEST_TIMEOUT',
  });
  return {
    socket,
    responses,
    reportLateHead: () => void server.emit('clientError', late, accepted),
  };
}

async function replyTo(socket: Socket): Promise<string> {
  let text = '';
  socket.on('data', chunk => (text += String(chunk)));
  await once(socket, 'close');
  return text;
}

test('http-server: a request after a refusal is not run', async () => {
  const {socket, responses, reportLateHead} = await start();
  socket.write(HEAD);
  const reply = replyTo(socket);
  reportLateHead();
  await once(socket, 'data');
  socket.end('\r\n');
  assert.match(await reply, /^HTTP\/1.1 408 /);
  assert.equal(responses.length, 0);
});

test('http-server: a refusal is not sent for a request that runs', async () => {
  const {socket, responses} = await start();
  socket.write(`${HEAD}\r\n`);
  while (responses.length === 0) await new Promise(done => setImmediate(done));
  socket.write('not HTTP\r\n\r\n');
  assert.equal(await replyTo(socket), '');
});
