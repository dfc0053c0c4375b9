import {id, type ServiceName, type WorkspaceId} from '@chivewick/common';
import type {CallOutcome} from '@chivewick/ledger';
import {build, type Histogram} from 'hdr-histogram-js';
import {sleep, type Fleet} from './ledger-hosts.js';

export interface Load {
  readonly calls: number;
  readonly callsPerSecond: number;
  /**
   * One call in `pairEvery` is sent with the same key to two hosts
   * simultaneously.
   */
  readonly pairEvery?: number;
  /** Attempts by the caller, with the same key at other hosts. */
  readonly attempts: number;
}

export interface LoadResult {
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Time over which calls were sent, in milliseconds. */
  readonly loadMs: number;
  /** Processor time of all hosts, callers and stand-ins, in microseconds. */
  readonly cpuUs: number;
  /** Platform writes in that time. */
  readonly writes: number;
  /** Time of each first attempt, in microseconds. */
  readonly latency: Histogram;
  /** Keys that the service ran more than once. */
  readonly doubled: number;
  /** Keys that ran, although every caller received `not_run`. */
  readonly falseNotRun: number;
  /** Keys that did not run, although a caller received `answered`. */
  readonly falseAnswers: number;
}

type CallResult = 'answered' | 'not_run' | 'unknown';

const TICK_MS = 10;
const DEADLINE_MS = 8_000;
const RETRY_MS = 100;

/**
 * Sends calls at a constant rate, without waiting for earlier ones (open loop).
 */
export async function runLoad(fleet: Fleet, load: Load): Promise<LoadResult> {
  const latency = build({numberOfSignificantValueDigits: 3});
  const results = new Map<string, CallResult[]>();
  const last: CallResult[] = [];
  const waiting: Promise<void>[] = [];
  const writesBefore = fleet.platform.calls.writes;
  const cpuBefore = process.cpuUsage();
  const begin = performance.now();

  async function caller(key: string, host: number): Promise<void> {
    for (let attempt = 0; attempt < load.attempts; attempt++) {
      const start = performance.now();
      const result = await callOnce(fleet, host + attempt, key);
      const us = Math.round((performance.now() - start) * 1_000);
      if (attempt === 0) latency.recordValue(Math.max(1, us));
      results.set(key, [...(results.get(key) ?? []), result]);
      if (result === 'answered' || attempt === load.attempts - 1)
        return void last.push(result);
      await sleep(RETRY_MS);
    }
  }

  for (let sent = 0; sent < load.calls;) {
    const due = ((performance.now() - begin) * load.callsPerSecond) / 1_000;
    for (; sent < Math.min(due, load.calls); sent++) {
      const key = `key-${sent}`;
      waiting.push(caller(key, sent));
      if (load.pairEvery !== undefined && sent % load.pairEvery === 0)
        waiting.push(caller(key, sent + 1));
    }
    await sleep(TICK_MS);
  }
  const loadMs = performance.now() - begin;
  const writes = fleet.platform.calls.writes - writesBefore;
  await Promise.all(waiting);
  const cpu = process.cpuUsage(cpuBefore);
  const count = (result: CallResult) => last.filter(v => v === result).length;
  const keysWhere = (test: (results: CallResult[], runs: number) => boolean) =>
    [...results].filter(([key, received]) =>
      test(received, fleet.runs.runsOfKey(key)),
    ).length;
  return {
    answered: count('answered'),
    notRun: count('not_run'),
    unknown: count('unknown'),
    loadMs,
    cpuUs: cpu.user + cpu.system,
    writes,
    latency,
    doubled: keysWhere((_received, runs) => runs > 1),
    falseNotRun: keysWhere(
      (received, runs) => runs > 0 && received.every(v => v === 'not_run'),
    ),
    falseAnswers: keysWhere(
      (received, runs) => runs === 0 && received.includes('answered'),
    ),
  };
}

async function callOnce(
  fleet: Fleet,
  host: number,
  key: string,
): Promise<CallResult> {
  const at = host % fleet.size();
  const running = fleet.host(at);
  // A killed host refuses connections.
  if (running === undefined) return 'not_run';
  const calling = running.ledger.call({
    workspace: id<WorkspaceId>('bench'),
    service: id<ServiceName>('bookings'),
    key,
    call: {
      method: 'POST',
      path: '/slots',
      contentType: 'application/json',
      body: JSON.stringify({key, church: 'San Saturnino', day: 12}),
    },
    deadlineMs: DEADLINE_MS,
  });
  // If the host is killed during the call, the connection of the caller breaks.
  const broken = running.killed.then((): CallResult => 'unknown');
  return Promise.race([broken, calling.then(resultOf)]);
}

function resultOf(outcome: CallOutcome): CallResult {
  if (outcome.kind === 'answered') return 'answered';
  return outcome.err.ran === 'not_run' ? 'not_run' : 'unknown';
}
