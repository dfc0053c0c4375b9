export * from './dialer.js';
export * from './dialing-agent.js';
export * from './direct-paths.js';
export {createFrameWriter} from './frames.js';
export {resetSocket} from './sockets.js';
export * from './tunnel-server.js';
