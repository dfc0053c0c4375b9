#!/usr/bin/env node
import {setTimeout as sleep} from 'node:timers/promises';
import {runChivewick} from './program.js';

process.exitCode = await runChivewick(process.argv.slice(2), {
  out: text => void process.stdout.write(text),
  err: text => void process.stderr.write(text),
  isTerminal: process.stdout.isTTY === true,
  env: process.env,
  sleep: ms => sleep(ms),
  now: () => performance.now(),
});
