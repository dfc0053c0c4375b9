export {startDaemon, type Daemon} from './daemon.js';
export {loadSettings} from './settings.js';
