/** The command-line tool for operators. */
export {EXIT_CODES} from './exit.js';
export type {Io} from './io.js';
export {runChivewick} from './program.js';
