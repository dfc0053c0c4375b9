import type fc from 'fast-check';

/** The system under test of one target, started once for many inputs. */
export interface Subject<T> {
  /** Rejects when the property does not hold for the input. */
  check(input: T): Promise<void>;
  close(): Promise<void>;
}

/** One fuzz target. Inputs are JSON values, as the corpus stores JSON. */
export interface Target<T> {
  /** Name on the command line and of the folder of its corpus. */
  readonly name: string;
  /** The property that holds for every input, as a sentence. */
  readonly property: string;
  readonly inputs: fc.Arbitrary<T>;
  /** Number of generated inputs in a test run. */
  readonly runsInTests: number;
  open(): Promise<Subject<T>>;
}

/** A target of any input type. */
// eslint-disable-next-line @typescript-eslint/no-explicit-any
export type AnyTarget = Target<any>;
