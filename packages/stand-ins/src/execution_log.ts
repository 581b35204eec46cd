import {sha256Hex} from '@fescuespool/common';
import type {ExecutionRecord} from './types.js';

/** Records what an upstream ran; tests check executions against it. */
export class ExecutionLog {
  readonly records: ExecutionRecord[] = [];

  /** Records the start of an execution; returns its record. */
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

  /** Records the end of an execution; later calls change nothing. */
  finish(record: ExecutionRecord, end: 'completed' | 'cancelled'): void {
    record.end ??= end;
    record.endedAtMs ??= Date.now();
  }
}
