import type {ValueOf} from '@fescuespool/common';
import type {EXIT_CODE} from './constants.js';

/** One of the tool's exit codes. */
export type ExitCode = ValueOf<typeof EXIT_CODE>;

/** HTTP response of a daemon's operator port with its parsed JSON body. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Column titles and rows of a printed table. */
export interface TableData {
  readonly head: readonly string[];
  readonly rows: ReadonlyArray<readonly unknown[]>;
}
