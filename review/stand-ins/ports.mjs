import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';

const LOOPBACK = '127.0.0.1';
const taken = new Set();
/** Scripts that run at the same time look for ports in different places. */
const SLOT_PORTS = 200;
const firstOfSlot = 20_000 + (process.pid % 50) * SLOT_PORTS;

function isFreeTcp(port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK, () => server.close(() => resolve(true)));
  });
}

function isFreeUdp(port) {
  return new Promise(resolve => {
    const socket = createSocket('udp4');
    socket.once('error', () => resolve(false));
    socket.bind(port, LOOPBACK, () => socket.close(() => resolve(true)));
  });
}

/** Returns the first of `count` consecutive ports that are free for TCP and UDP. */
export async function freePorts(count) {
  for (;;) {
    const offset = Math.floor(Math.random() * (SLOT_PORTS - count));
    const first = firstOfSlot + offset;
    const ports = Array.from({length: count}, (_, index) => first + index);
    if (ports.some(port => taken.has(port))) continue;
    const free = await Promise.all(
      ports.map(async port => (await isFreeTcp(port)) && isFreeUdp(port)),
    );
    if (!free.every(Boolean)) continue;
    for (const port of ports) taken.add(port);
    return first;
  }
}
