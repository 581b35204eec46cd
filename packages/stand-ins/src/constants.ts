/** Systems that a stand-in can emulate. */
export const STAND_IN_KIND = {
  PLATFORM: 'platform',
  MODEL: 'model',
  APPLICATION: 'application',
} as const;

/** Paths of the control interface, for setting faults and reading records. */
export const CONTROL_PATH = {
  FAULTS: '/control/faults',
  RECORDS: '/control/records',
  STATS: '/control/stats',
  VMS: '/control/vms',
} as const;

/** Text in a prompt or body that makes the upstream that runs it exit. */
export const CRASH_MARKER = '[[crash]]';

/** Milliseconds for which a finished stream can still be resumed. */
export const STREAM_RETENTION_MS = 30_000;

/** Milliseconds between two steps of the emulated engine. */
export const ENGINE_STEP_MS = 5;

/** Additional decode time per token in a full batch, as a share of the base. */
export const BATCH_SLOWDOWN = 0.5;

/** Maximum number of reads and writes per second that the platform accepts. */
export const PLATFORM_RATE_LIMIT = {READS: 2_000, WRITES: 400} as const;

/** Maximum size in bytes of a request body that a stand-in reads. */
export const MAX_BODY_BYTES = 67_108_864;
