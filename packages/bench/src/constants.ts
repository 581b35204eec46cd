/** Ports of a fleet's processes, each of which has its own address. */
export const FLEET_PORT = {
  CALLER: 7_080,
  OPERATOR: 7_081,
  PEER: 7_082,
  PLATFORM: 7_083,
  UPSTREAM: 7_084,
  PROXY: 7_085,
} as const;

/** Time in milliseconds within which a process must report readiness. */
export const START_TIMEOUT_MS = 30_000;

/** Default time in milliseconds that waitUntil waits for a condition. */
export const WAIT_TIMEOUT_MS = 30_000;

/** Pause in milliseconds between two checks of a condition. */
export const POLL_INTERVAL_MS = 25;

/** Ways in which a call can end for its caller. */
export const CALL_END = {
  /** The response was received to its end. */
  COMPLETE: 'whole',
  /** The response was an error, or the stream broke after an error event. */
  REFUSED: 'refused',
  /** The connection failed, or the stream ended early. */
  BROKEN: 'broken',
} as const;
