export * from './application_stand_in.js';
export * from './completion.js';
export * from './constants.js';
export * from './errors.js';
export * from './model_stand_in.js';
export * from './platform_stand_in.js';
export * from './types.js';
