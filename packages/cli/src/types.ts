import type {ValueOf} from '@fescuespool/common';
import type {EXIT_CODE} from './constants.js';

/** Exit code of the tool. */
export type ExitCode = ValueOf<typeof EXIT_CODE>;

/** Answer of a daemon's operator port. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** A table for people. */
export interface TableData {
  readonly head: readonly string[];
  readonly rows: ReadonlyArray<readonly unknown[]>;
}
