// Sends versions of a large configuration to a log; run in a worker of little memory.
import {createChangeLog} from '../src/index.js';

const ROUTES = 3_688;
/** More than a host of 350 MB held when each version was kept. */
const VERSIONS = 400;

const log = createChangeLog();
log.begin().listed({objects: [], version: 1, confirmedAfterMs: 0});
for (let version = 2; version < VERSIONS; version++) {
  const routes = Array.from({length: ROUTES}, (_, index) => ({
    name: `route-${index}`,
    pathPrefix: `/${version}/${index}/`,
    targets: [{service: 'app', weight: 1}],
  }));
  log.begin().polled({
    kind: 'changes',
    changes: [{key: 'config/main', version, value: {version, routes}}],
    version,
    confirmedAfterMs: 0,
  });
}
