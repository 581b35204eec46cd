export * from './constants.js';
export * from './dispatch_queue.js';
export * from './retry_allowance.js';
export * from './start_model.js';
export * from './token_quota.js';
export * from './types.js';
export * from './upstream_state.js';
export * from './waiting_list.js';
