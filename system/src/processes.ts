/** Starts scripts of the repository as processes and ends them by process id. */
import {readLines} from '@chivewick/common';
import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const MAX_ERROR_CHARS = 2_000;
const SIGNALS = ['SIGTERM', 'SIGINT'] as const;
const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

/** A process that belongs to a `ProcessGroup`. */
export interface Running {
  readonly name: string;
  readonly child: ChildProcess;
  /** Resolves with the exit code, or with the name of the signal that ended it. */
  readonly exited: Promise<number | string>;
  /** Whether the process has not ended; true for a process under SIGSTOP. */
  alive(): boolean;
  /** The last 2,000 characters of standard error. */
  errors(): string;
}

/** Processes that are ended together. */
export interface ProcessGroup {
  /** Directory with one log file for each process. */
  readonly logs: string;
  /** Starts a script of the repository; its output is appended to a log file. */
  start(name: string, script: string, args: readonly string[]): Running;
  /** Starts a stand-in and waits until it prints its address. */
  startStandIn(
    name: string,
    folder: string,
    args?: readonly string[],
  ): Promise<{running: Running; address: string}>;
  /** Ends every process that is still running, including those under SIGSTOP. */
  stopAll(): Promise<void>;
}

/**
 * Returns the absolute path of a file of the repository.
 *
 * @example
 * repositoryPath('examples/demo/plans.yaml');
 */
export function repositoryPath(...parts: string[]): string {
  return join(ROOT, ...parts);
}

/**
 * Creates an empty group. Its processes are also ended if this process exits
 * without `stopAll`, for example after an uncaught error or a signal.
 *
 * @example
 * const group = createProcessGroup(await mkdtemp('/tmp/logs-'));
 * const {address} = await group.startStandIn('store', 'object-api');
 * await group.stopAll();
 */
export function createProcessGroup(logs: string): ProcessGroup {
  const started: Running[] = [];
  const killAll = () => started.filter(r => r.alive()).forEach(kill);
  process.once('exit', killAll);
  // The test runner sends SIGTERM to a file that exceeds its time limit.
  const onSignal = (signal: NodeJS.Signals) => {
    killAll();
    if (process.listenerCount(signal) === 1) process.exit(1);
  };
  SIGNALS.forEach(signal => process.on(signal, onSignal));

  function start(
    name: string,
    script: string,
    args: readonly string[],
  ): Running {
    const child = spawn(process.execPath, [repositoryPath(script), ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(logs, `${name}.log`), {flags: 'a'});
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    let errors = '';
    child.stderr.on('data', (chunk: Buffer) => {
      errors = (errors + chunk.toString()).slice(-MAX_ERROR_CHARS);
    });
    const exited = new Promise<number | string>(resolve =>
      child.once('close', (code, signal) => {
        log.end();
        resolve(code ?? signal ?? -1);
      }),
    );
    const alive = () => child.exitCode === null && child.signalCode === null;
    const running = {name, child, exited, alive, errors: () => errors};
    started.push(running);
    return running;
  }

  return {
    logs,
    start,
    async startStandIn(name, folder, args = []) {
      const script = `stand-ins/dist/src/${folder}/main.js`;
      const running = start(name, script, args);
      for await (const line of readLines(running.child.stdout!)) {
        const {address} = JSON.parse(line) as {address: string};
        running.child.stdout!.resume();
        return {running, address};
      }
      throw new Error(`${name} ended before it was ready; see ${logs}`);
    },
    async stopAll() {
      killAll();
      await Promise.all(started.map(({exited}) => exited));
      process.off('exit', killAll);
      SIGNALS.forEach(signal => process.off(signal, onSignal));
    },
  };
}

function kill({child}: Running): void {
  child.kill('SIGCONT');
  child.kill('SIGKILL');
}
