import type {Finding} from '@fescuespool/common';
import {formatFinding} from '@fescuespool/common';
import type {Outcome, RefusalReason} from '@fescuespool/coordination';

/** A request that was refused, with what the caller is told. */
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
