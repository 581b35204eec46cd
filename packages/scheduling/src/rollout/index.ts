export * from './constants.js';
export * from './rollout_trial.js';
export * from './types.js';
export * from './version_gate.js';
export * from './gated_upstreams.js';
