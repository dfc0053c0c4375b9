/**
 * HTTP administration API: the two lists and read-only views of the system.
 */
export {
  createOperatorsApp,
  createOperatorsServer,
  type OperatorsApp,
} from './app.js';
export {HISTORY_ENTRIES, type HistoryLine} from './history.js';
export {ADMIN_ROUTES, type AdminRoute} from './routes.js';
export {
  LIST_NAMES,
  type AdminKey,
  type EndpointRow,
  type HostRow,
  type HostVersions,
  type OperatorsOptions,
  type Readiness,
} from './options.js';
