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
