import type {ExecutionRecord} from '@fescuespool/stand-ins';
import type {CallResult} from './caller.js';
import {CALL_END} from './constants.js';

const NOT_RUN_OUTCOME = 'not_run';

/** Counts executions by the request identifier that the upstream received. */
export function countExecutions(
  records: readonly ExecutionRecord[],
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {requestId} of records) {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  }
  return counts;
}

/**
 * Finds calls that were executed more than once with the same body. Returns a
 * text for each; `callPrefix` selects calls such as `POST /bookings`.
 */
export function findRepeatedExecutions(
  records: readonly ExecutionRecord[],
  callPrefix: string,
): string[] {
  const counts = new Map<string, number>();
  for (const {call, bodyHash} of records) {
    if (!call.startsWith(callPrefix)) continue;
    const key = `${call} ${bodyHash}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `${key} ran ${count} times`);
}

/**
 * Compares what callers received with what upstreams executed. Returns a text
 * for each request that was executed more than once, got a wrong response, or
 * was executed although it was refused as not run.
 */
export function findExecutionBreaches(
  results: readonly CallResult[],
  records: readonly ExecutionRecord[],
): string[] {
  const executions = countExecutions(records);
  const breaches: string[] = [];
  for (const [requestId, count] of executions) {
    if (count > 1) breaches.push(`${requestId} was executed ${count} times`);
  }
  for (const {end, isCorrect, problem, requestId} of results) {
    if (end === CALL_END.COMPLETE && !isCorrect) {
      breaches.push(
        `${requestId} received a complete response that is not the expected one`,
      );
    }
    if (problem?.outcome === NOT_RUN_OUTCOME && executions.has(requestId)) {
      breaches.push(`${requestId} was refused as not run, but was executed`);
    }
  }
  return breaches;
}
