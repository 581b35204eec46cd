import {MAX_NAMED_FINDINGS} from './constants.js';
import type {Finding} from './types.js';

/** Rejection of an input, with every finding and the path of its value. */
export class FindingsError extends Error {
  constructor(
    readonly subject: string,
    readonly findings: readonly Finding[],
  ) {
    super(`${subject}: ${summarize(findings)}`);
    this.name = 'FindingsError';
  }
}

function summarize(findings: readonly Finding[]): string {
  const named = findings.slice(0, MAX_NAMED_FINDINGS).map(formatFinding);
  const others = findings.length - named.length;
  if (others > 0) named.push(`and ${others} more`);
  return named.join('; ');
}

/** Formats a finding as `place: message`, with `(root)` for an empty place. */
export function formatFinding(finding: Finding): string {
  return `${finding.place || '(root)'}: ${finding.message}`;
}
