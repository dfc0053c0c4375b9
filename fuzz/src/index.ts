/** Fuzz targets for the packages and their runner. */
export {keepInput, readCorpus, type CorpusEntry} from './core/corpus.js';
export {replay, runTarget, type RunReport} from './core/run-target.js';
export type {AnyTarget, Subject, Target} from './core/target.js';
export {TARGETS} from './targets/index.js';
