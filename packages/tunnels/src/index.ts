export * from './dialer.js';
export * from './dialing-agent.js';
export * from './direct-paths.js';
export * from './tunnel-server.js';
