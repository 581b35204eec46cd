/** Kinds of stand-ins. */
export const STAND_IN_KIND = {
  PLATFORM: 'platform',
  MODEL: 'model',
  APPLICATION: 'application',
} as const;

/** Paths of the control interface, over which faults are set. */
export const CONTROL_PATH = {
  FAULTS: '/control/faults',
  RECORDS: '/control/records',
  STATS: '/control/stats',
  VMS: '/control/vms',
} as const;

/** Text in a prompt or body that crashes the upstream that runs it. */
export const CRASH_MARKER = '[[crash]]';

/** Time in milliseconds for which a finished stream can be resumed. */
export const STREAM_RETENTION_MS = 30_000;

/** Step in milliseconds of the emulated engine. */
export const ENGINE_STEP_MS = 5;

/** Share of decode speed that a full batch costs. */
export const BATCH_SLOWDOWN = 0.5;

/** Reads and writes a second that the platform takes. */
export const PLATFORM_RATE_LIMIT = {READS: 2_000, WRITES: 400} as const;

/** Largest body in bytes that a stand-in reads. */
export const MAX_BODY_BYTES = 67_108_864;
