export * from './dialer.js';
export * from './dialing-agent.js';
export * from './reachability.js';
export {isListening} from './sockets.js';
export * from './tunnel-server.js';
