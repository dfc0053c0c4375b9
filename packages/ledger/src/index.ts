export type * from './ledger-api.js';
export {createLedger} from './ledger.js';
export {LEDGER_DEFAULTS, type LedgerSettings} from './options.js';
