import type {Finding} from './types.js';

/** Input that was rejected, with every finding and its place. */
export class FindingsError extends Error {
  constructor(
    readonly subject: string,
    readonly findings: readonly Finding[],
  ) {
    super(`${subject}: ${findings.map(formatFinding).join('; ')}`);
    this.name = 'FindingsError';
  }
}

/** Formats a finding as `place: message`. */
export function formatFinding(finding: Finding): string {
  return `${finding.place || '(root)'}: ${finding.message}`;
}
