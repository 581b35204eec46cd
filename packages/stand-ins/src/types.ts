import type {ValueOf} from '@fescuespool/common';
import type {STAND_IN_KIND} from './constants.js';

/** System that a stand-in emulates. */
export type StandInKind = ValueOf<typeof STAND_IN_KIND>;

/** One execution as recorded by the upstream that ran it. */
export interface ExecutionRecord {
  readonly requestId: string;
  /** Method and path, or `chat` for a chat completion. */
  readonly call: string;
  /** SHA-256 of the request body in hexadecimal. */
  readonly bodyHash: string;
  /** Start in Unix milliseconds. */
  readonly startedAtMs: number;
  promptTokens: number;
  /** Prompt tokens that were computed, not found in the prefix cache. */
  computedTokens: number;
  outputTokens: number;
  /** How the execution ended; null while it runs. */
  end: 'completed' | 'cancelled' | null;
  /** End in Unix milliseconds; monotonic enough for the checks that use it. */
  endedAtMs: number | null;
}

/** A running stand-in. */
export interface StandIn {
  /** Base URL of its server. */
  readonly url: string;
  /** Stops the server and closes all connections. */
  readonly close: () => void;
}
