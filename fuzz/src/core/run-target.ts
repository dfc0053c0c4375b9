import fc from 'fast-check';
import {readCorpus} from './corpus.js';
import {watchEscapes} from './escapes.js';
import type {Subject, Target} from './target.js';

/** Result of a run. */
export interface RunReport {
  readonly target: string;
  readonly seed: number;
  /** Number of generated inputs checked, without those of the corpus. */
  readonly runs: number;
  /** Number of corpus inputs. */
  readonly replayed: number;
  readonly failure?: {
    /** The minimised input. */
    readonly input: unknown;
    readonly message: string;
  };
}

/** Bounds of a run; without `seconds`, `runs` inputs are checked. */
export interface RunOptions {
  readonly seed: number;
  readonly runs: number;
  /** Ends the run after this time; a run that ends early is no failure. */
  readonly seconds?: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Replays the corpus of a target and then checks generated inputs. The first
 * failing input is minimised and ends the run.
 *
 * @example
 * const report = await runTarget(listsTarget, {seed: 1, runs: 500});
 */
export async function runTarget<T>(
  target: Target<T>,
  {seed, runs, seconds}: RunOptions,
): Promise<RunReport> {
  const {name, inputs} = target;
  const subject = await target.open();
  const escapes = watchEscapes();
  const check = (input: T) => checkInput(subject, escapes, input);
  try {
    const corpus = await readCorpus(name);
    for (const {file, input} of corpus) {
      const message = await messageOf(() => check(input as T));
      const head = {target: name, seed, runs: 0, replayed: corpus.length};
      if (message !== undefined)
        return {...head, failure: {input, message: `${file}: ${message}`}};
    }
    const details = await fc.check(
      fc.asyncProperty(inputs, async input => check(input)),
      {
        seed,
        numRuns: runs,
        ...(seconds !== undefined && {
          interruptAfterTimeLimit: seconds * MS_PER_SECOND,
          markInterruptAsFailure: false,
        }),
      },
    );
    const report = {
      target: name,
      seed,
      runs: details.numRuns,
      replayed: corpus.length,
    };
    if (!details.failed || details.counterexample === null) return report;
    const [input] = details.counterexample;
    return {
      ...report,
      failure: {input, message: describe(details.errorInstance)},
    };
  } finally {
    escapes.close();
    await subject.close();
  }
}

/**
 * Checks one input with a new subject; replays an entry of the corpus.
 *
 * @example
 * await replay(peersTarget, entry.input);
 */
export async function replay<T>(target: Target<T>, input: T): Promise<void> {
  const subject = await target.open();
  const escapes = watchEscapes();
  try {
    await checkInput(subject, escapes, input);
  } finally {
    escapes.close();
    await subject.close();
  }
}

async function checkInput<T>(
  subject: Subject<T>,
  escapes: ReturnType<typeof watchEscapes>,
  input: T,
): Promise<void> {
  await subject.check(input);
  await escapes.check();
}

async function messageOf(
  run: () => Promise<void>,
): Promise<string | undefined> {
  try {
    await run();
    return undefined;
  } catch (err) {
    return describe(err);
  }
}

function describe(err: unknown): string {
  if (!(err instanceof Error)) return String(err);
  const cause = err.cause === undefined ? '' : `: ${describe(err.cause)}`;
  return `${err.message}${cause}`;
}
