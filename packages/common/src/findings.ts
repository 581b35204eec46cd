import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {z} from 'zod';
import {FINDING_SEVERITY} from './constants.js';
import {FindingsError} from './errors.js';
import type {Finding} from './types.js';

/** Creates a finding of severity `error`. */
export function errorFinding(place: string, message: string): Finding {
  return {place, message, severity: FINDING_SEVERITY.ERROR};
}

/** Parses JSON text; the error contains the subject, the name of the input. */
export function parseJson(
  subject: string,
  text: string,
): Result<unknown, FindingsError> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch (e) {
    return err(createFindingsError(subject, `invalid JSON: ${messageOf(e)}`));
  }
}

/** Creates an error with one finding about the whole input. */
export function createFindingsError(
  subject: string,
  message: string,
): FindingsError {
  return new FindingsError(subject, [errorFinding('', message)]);
}

/**
 * Checks a value against a schema and returns the parsed value; the error
 * contains the subject, the name of the input, and all findings.
 */
export function checkAgainstSchema<T>(
  subject: string,
  schema: z.ZodType<T>,
  value: unknown,
): Result<T, FindingsError> {
  let parsed: z.ZodSafeParseResult<T>;
  try {
    parsed = schema.safeParse(value);
  } catch (e) {
    // A great many findings overflow the stack of zod.
    return err(createFindingsError(subject, `not checked: ${messageOf(e)}`));
  }
  if (parsed.success) return ok(parsed.data);
  const findings = parsed.error.issues.map(issue =>
    errorFinding(issue.path.map(String).join('.'), issue.message),
  );
  return err(new FindingsError(subject, findings));
}

function messageOf(e: unknown): string {
  return e instanceof Error ? e.message : String(e);
}
