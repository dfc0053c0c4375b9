/** Free ports on `LOOPBACK_HOST`. */
import {LOOPBACK_HOST} from '@chivewick/stand-ins';
import {createServer} from 'node:net';

// Below the ephemeral port range: an outgoing connection must not be assigned a
// port between the check that it is free and its use.
const FIRST_PORT = 15_000;
const PORTS_PER_PROCESS = 85;
const PORT_RANGES = 200;

// Test files run concurrently, each in its own process. Concurrent processes have
// ids that are close together, so their port ranges do not overlap.
const rangeStart = FIRST_PORT + (process.pid % PORT_RANGES) * PORTS_PER_PROCESS;
let nextOffset = 0;

/**
 * Finds ports that nothing listens on, in ascending order from the range of this
 * process, which is used again from its start when it is exhausted.
 *
 * @example
 * const [callers, operators, peers] = await freePorts(3);
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = rangeStart + (nextOffset++ % PORTS_PER_PROCESS);
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK_HOST, () => server.close(() => resolve(true)));
  });
}
