import type {Finding} from '@fescuespool/common';
import {formatFinding} from '@fescuespool/common';
import type {Outcome, RefusalReason} from '@fescuespool/coordination';

/** Refusal of a request, with the reason and details sent to the caller. */
export class RefusalError extends Error {
  constructor(
    readonly reason: RefusalReason,
    readonly outcome: Outcome,
    readonly detail: string,
    readonly options: {
      readonly retryAfterMs?: number | null;
      readonly findings?: readonly Finding[];
    } = {},
  ) {
    const findings = options.findings?.map(formatFinding).join('; ');
    super(findings ? `${detail}: ${findings}` : detail);
    this.name = 'RefusalError';
  }
}
