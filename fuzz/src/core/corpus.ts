import {mkdir, readdir, readFile, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {sha256} from '@chivewick/common';

// The sources run from `fuzz/dist/src/core`.
const ROOT = fileURLToPath(new URL('../../../corpus', import.meta.url));
const NAME_CHARS = 12;

/** A minimised input that once failed, and the message of that failure. */
export interface CorpusEntry {
  /** File name, derived from the digest of the input. */
  readonly file: string;
  readonly input: unknown;
  /** Message of the failure for which the input was stored. */
  readonly seen: string;
}

/**
 * Reads the stored inputs of a target, in the order of their file names.
 *
 * @example
 * for (const {input} of await readCorpus('peers')) await subject.check(input);
 */
export async function readCorpus(target: string): Promise<CorpusEntry[]> {
  const files = await readdir(join(ROOT, target)).catch(() => []);
  const names = files.filter(file => file.endsWith('.json')).sort();
  return Promise.all(
    names.map(async file => {
      const text = await readFile(join(ROOT, target, file), 'utf8');
      return {file, ...(JSON.parse(text) as Omit<CorpusEntry, 'file'>)};
    }),
  );
}

/**
 * Stores a failing input and returns its path. The same input is stored once.
 *
 * @example
 * const path = await keepInput('peers', counterexample, 'handler was called');
 */
export async function keepInput(
  target: string,
  input: unknown,
  seen: string,
): Promise<string> {
  const name = sha256(JSON.stringify(input)).slice(0, NAME_CHARS);
  const path = join(ROOT, target, `${name}.json`);
  await mkdir(join(ROOT, target), {recursive: true});
  const text = `${JSON.stringify({seen, input}, null, 2)}\n`;
  // An input that fails again keeps the message of its first failure.
  await writeFile(path, text, {flag: 'wx'}).catch((err: {code?: string}) => {
    if (err.code !== 'EEXIST') throw err;
  });
  return path;
}
