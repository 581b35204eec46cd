/**
 * Time in milliseconds after the stop signal during which new requests may
 * still arrive and are served.
 */
export const DEREGISTRATION_DELAY_MS = 2_600;

/** Time in milliseconds kept between the last response and the forced exit. */
export const STOP_MARGIN_MS = 500;

/**
 * Time in milliseconds before that at which open requests are ended, so that
 * their responses are still sent.
 */
export const LAST_RESPONSE_MARGIN_MS = 100;

/** Number of run times that are kept of each route. */
export const MAX_RUN_TIMES = 64;

/** Number of routes whose run times are kept. */
export const MAX_ROUTES_WITH_RUN_TIMES = 4_096;

/** Number of run times below which the longest is multiplied by a factor. */
export const FEW_RUN_TIMES = 8;

/** That factor. */
export const FEW_RUN_TIMES_FACTOR = 2;

/** Quantile of the run times that a request is expected to take. */
export const USUAL_RUN_QUANTILE = 0.95;

/** Interval in milliseconds at which a process that stops measures its pace. */
export const PACE_INTERVAL_MS = 5;

/** Time in milliseconds by which the pace is judged, so that it is soon seen to fall. */
export const PACE_WINDOW_MS = 600;

/** Longer time in milliseconds, for a pace that goes up and down. */
export const LONG_PACE_WINDOW_MS = 2_000;

/** Multiple of a stall that has to be left after it to wait for another one. */
export const SINGLE_STALL_FACTOR = 2;

/** Least share of a core that a process is taken to get. */
export const MIN_CORE_SHARE = 0.01;

/** Processor time in milliseconds that the end of a request takes at least. */
export const MIN_END_COST_MS = 0.5;

/** Most that it is taken to cost, whatever was measured. */
export const MAX_END_COST_MS = 5;

/** Weight of the latest measurement of that cost. */
export const END_COST_WEIGHT = 0.3;

/** Time in milliseconds after which it is checked again whether any has to end. */
export const END_CHECK_INTERVAL_MS = 20;

/** Share of the processor time left that the ends of requests may take. */
export const END_TIME_SHARE = 0.5;

/** Time in milliseconds before the forced exit in which no request has to end. */
export const END_RESERVE_MS = 100;

/** Multiple of the longest stall that is kept besides. */
export const END_RESERVE_STALLS = 3;

/** Most milliseconds that are kept for stalls: a single one may not come again. */
export const MAX_STALL_RESERVE_MS = 1_500;

/** Share of a core below which searches for another upstream are left out. */
export const SCARCE_CORE_SHARE = 0.25;
