import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';
import {writeFileSync} from 'node:fs';

/** Collects what was sent, answered and run, and writes it to `record.txt`. */
export function createRecord(folder) {
  const startMs = performance.now();
  const lines = [];
  return {
    add(text) {
      const seconds = ((performance.now() - startMs) / 1_000).toFixed(3);
      lines.push(`${seconds.padStart(8)} s  ${text}`);
    },
    write() {
      writeFileSync(new URL('record.txt', folder), lines.join('\n') + '\n');
    },
  };
}

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));
