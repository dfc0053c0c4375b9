import {isIPv4} from 'node:net';

const MAX_PORT = 65_535;

/**
 * Whether a text is an IPv4 address with a port that can be connected to, `ip:port`.
 *
 * @example
 * isIpAddress('10.1.64.9:8080'); // true
 * isIpAddress('10.1.64.9:99999'); // false
 */
export function isIpAddress(text: string): boolean {
  const match = /^((?:\d{1,3}\.){3}\d{1,3}):(\d{1,5})$/.exec(text);
  if (match === null) return false;
  const port = Number(match[2]);
  return isIPv4(match[1]) && port >= 1 && port <= MAX_PORT;
}
