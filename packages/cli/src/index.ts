export * from './constants.js';
export * from './errors.js';
export * from './operator_client.js';
export * from './types.js';
export * from './value_diff.js';
