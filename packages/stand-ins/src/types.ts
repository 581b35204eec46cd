import type {ValueOf} from '@fescuespool/common';
import type {STAND_IN_KIND} from './constants.js';

/** Kind of a stand-in. */
export type StandInKind = ValueOf<typeof STAND_IN_KIND>;

/** One execution as an upstream witnessed it. */
export interface ExecutionRecord {
  readonly requestId: string;
  /** Method and path, or the chat endpoint. */
  readonly call: string;
  /** SHA-256 of the body. */
  readonly bodyHash: string;
  readonly startedAtMs: number;
  promptTokens: number;
  computedTokens: number;
  outputTokens: number;
  /** How it ended; null while it runs. */
  end: 'completed' | 'cancelled' | null;
  /** Monotonic-enough wall time of the end, for the witness only. */
  endedAtMs: number | null;
}

/** A running stand-in. */
export interface StandIn {
  readonly url: string;
  readonly close: () => void;
}
