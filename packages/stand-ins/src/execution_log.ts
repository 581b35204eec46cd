import {sha256Hex} from '@fescuespool/common';
import type {ExecutionRecord} from './types.js';

/** What an upstream executed, as the witness of the proofs. */
export class ExecutionLog {
  readonly records: ExecutionRecord[] = [];

  /** Adds an execution that starts now. */
  start(requestId: string, call: string, body: Buffer): ExecutionRecord {
    const record: ExecutionRecord = {
      requestId,
      call,
      bodyHash: sha256Hex(body),
      startedAtMs: Date.now(),
      promptTokens: 0,
      computedTokens: 0,
      outputTokens: 0,
      end: null,
      endedAtMs: null,
    };
    this.records.push(record);
    return record;
  }

  /** Ends an execution. */
  finish(record: ExecutionRecord, end: 'completed' | 'cancelled'): void {
    record.end ??= end;
    record.endedAtMs ??= Date.now();
  }
}
