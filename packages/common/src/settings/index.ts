export * from './load-yaml.js';
export * from './host-settings.js';
