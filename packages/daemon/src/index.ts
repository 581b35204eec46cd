export * from './constants.js';
export * from './daemon.js';
export * from './settings.js';
export * from './types.js';
