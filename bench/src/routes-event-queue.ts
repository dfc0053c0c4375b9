/** A queue of events in simulated time, in milliseconds. */
export interface EventQueue {
  /** Current simulated time. */
  now(): number;
  /** Runs `act` after a delay. */
  after(delayMs: number, act: () => void): void;
  /** Runs all events up to `endMs` and sets the time to it. */
  runUntil(endMs: number): void;
}

interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly act: () => void;
}

/**
 * Creates an empty queue (binary heap); events of the same time run in the
 * order in which they were added.
 *
 * @example
 * const queue = createEventQueue();
 * queue.after(5, () => console.log(queue.now()));
 * queue.runUntil(10);
 */
export function createEventQueue(): EventQueue {
  const heap: Event[] = [];
  let nowMs = 0;
  let added = 0;

  function push(event: Event): void {
    let at = heap.push(event) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(event, heap[parent])) break;
      heap[at] = heap[parent];
      at = parent;
    }
    heap[at] = event;
  }

  function pop(): Event {
    const first = heap[0];
    const last = heap.pop() as Event;
    if (heap.length > 0) sink(last);
    return first;
  }

  function sink(event: Event): void {
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child]))
        child += 1;
      if (!isBefore(heap[child], event)) break;
      heap[at] = heap[child];
      at = child;
    }
    heap[at] = event;
  }

  return {
    now: () => nowMs,
    after(delayMs, act) {
      push({atMs: nowMs + delayMs, order: added++, act});
    },
    runUntil(endMs) {
      while (heap.length > 0 && heap[0].atMs <= endMs) {
        const event = pop();
        nowMs = event.atMs;
        event.act();
      }
      nowMs = endMs;
    },
  };
}

function isBefore(a: Event, b: Event): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
