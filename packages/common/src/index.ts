export * from './clock.js';
export * from './constants.js';
export * from './errors.js';
export * from './findings.js';
export * from './ids.js';
export * from './logger.js';
export * from './metrics.js';
export * from './types.js';
