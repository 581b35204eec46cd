/** Ports of a daemon of the local fleet; each daemon has its own address. */
export const FLEET_PORT = {
  CALLER: 7_080,
  OPERATOR: 7_081,
  PEER: 7_082,
  PLATFORM: 7_083,
  UPSTREAM: 7_084,
  PROXY: 7_085,
} as const;

/** Time in milliseconds for a process of the fleet to get ready. */
export const START_TIMEOUT_MS = 30_000;

/** Time in milliseconds for a condition to come true. */
export const WAIT_TIMEOUT_MS = 30_000;

/** Pause in milliseconds between two looks at a condition. */
export const POLL_INTERVAL_MS = 25;

/** Ends of a request as its caller saw them. */
export const CALL_END = {
  COMPLETE: 'whole',
  REFUSED: 'refused',
  BROKEN: 'broken',
} as const;
