import {failure, type Random} from '@chivewick/common';
import type {ServiceApi, ServiceOutcome} from '@chivewick/services';
import {delay, type Gate} from './gate.js';

/** Faults of the service; a number is the count of calls to affect. */
export interface FakeServiceFaults {
  refuse: number;
  freezeBefore: number;
  freezeAfter: number;
  crashAfter: number;
  /** Latency of every call, in milliseconds. */
  latencyMs: number;
  answerBytes: number;
}

/** In-memory service that counts the runs of each key. */
export interface FakeService {
  readonly faults: FakeServiceFaults;
  /** Number of runs by key. */
  readonly runs: Map<string, number>;
  /** The `traceparent` of each call that ran, which identifies its caller. */
  readonly traces: Set<string>;
  /** Addresses that were tried, in order. */
  readonly tried: string[];
  api(gate: Gate): ServiceApi;
}

export function createFakeService(random: Random): FakeService {
  const faults = {
    refuse: 0,
    freezeBefore: 0,
    freezeAfter: 0,
    crashAfter: 0,
    latencyMs: 5,
    answerBytes: 0,
  };
  const runs = new Map<string, number>();
  const traces = new Set<string>();
  const tried: string[] = [];
  const consumeFault = (
    name: 'refuse' | 'freezeBefore' | 'freezeAfter' | 'crashAfter',
  ) => faults[name] > 0 && faults[name]-- > 0;
  const unknown: ServiceOutcome = {
    kind: 'unknown',
    err: failure('outcome_unknown', 'no answer'),
  };

  async function run(
    address: string,
    key: string,
    trace: string,
    timeoutMs: number,
  ): Promise<ServiceOutcome> {
    tried.push(address);
    await delay(random.int(3));
    if (consumeFault('refuse'))
      return {kind: 'not_sent', err: failure('endpoint_failed', 'refused')};
    if (consumeFault('freezeBefore'))
      return delay(timeoutMs).then(() => unknown);
    await delay(faults.latencyMs + random.int(10));
    runs.set(key, (runs.get(key) ?? 0) + 1);
    traces.add(trace);
    if (consumeFault('freezeAfter'))
      return delay(timeoutMs).then(() => unknown);
    if (consumeFault('crashAfter')) return unknown;
    const body = `run of ${key}`.padEnd(faults.answerBytes, '.');
    const answer = {status: 201, contentType: 'text/plain', body};
    return {kind: 'answered', answer};
  }

  return {
    faults,
    runs,
    traces,
    tried,
    api: gate => ({
      async call(address, call, options) {
        await gate.pass();
        const key = call.idempotencyKey ?? '';
        const outcome = await run(
          address,
          key,
          call.traceparent ?? '',
          options.timeoutMs,
        );
        await gate.pass();
        return outcome;
      },
    }),
  };
}
