/**
 * An address of this process alone on Linux, which has all of 127.0.0.0/8 on loopback. A port
 * that a process closes may go to another one at once, whose listener then seems to be the
 * one that has ended.
 *
 * @example
 * server.listen(0, LOOPBACK_HOST);
 */
export const LOOPBACK_HOST =
  process.platform === 'linux'
    ? [
        127,
        1 + (process.pid >> 16),
        (process.pid >> 8) & 255,
        process.pid & 255,
      ].join('.')
    : '127.0.0.1';
