/** States of a roll-out. */
export const ROLLOUT_STATE = {
  RUNNING: 'running',
  COMPLETED: 'completed',
  ROLLED_BACK: 'rolled_back',
} as const;

/** Maximum number of routes whose evidence is kept for a roll-out. */
export const MAX_ROLLOUT_ROUTES = 64;

/** Maximum number of versions that a record bars. */
export const MAX_BARRED_VERSIONS = 16;
