import type {Finding} from './types.js';

/** Rejection of an input, with every finding and the path of its value. */
export class FindingsError extends Error {
  constructor(
    readonly subject: string,
    readonly findings: readonly Finding[],
  ) {
    super(`${subject}: ${findings.map(formatFinding).join('; ')}`);
    this.name = 'FindingsError';
  }
}

/** Formats a finding as `place: message`, with `(root)` for an empty place. */
export function formatFinding(finding: Finding): string {
  return `${finding.place || '(root)'}: ${finding.message}`;
}
