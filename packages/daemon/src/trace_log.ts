import type {LogFields, LogValue} from '@fescuespool/common';
import {LRUCache} from 'lru-cache';
import {MAX_TRACES} from './constants.js';

/** One event in the life of a request. */
export interface TraceEvent {
  readonly atMs: number;
  readonly event: string;
  readonly fields: Readonly<Record<string, LogValue>>;
}

/** The last requests' events, for operators. */
export class TraceLog {
  private readonly traces = new LRUCache<string, TraceEvent[]>({
    max: MAX_TRACES,
  });

  constructor(private readonly wallMs: () => number) {}

  /** Adds an event to a request's trace. */
  add(requestId: string, event: string, fields: LogFields = {}): void {
    const events = this.traces.get(requestId) ?? [];
    events.push({atMs: this.wallMs(), event, fields});
    this.traces.set(requestId, events);
  }

  /** Events of a request in order; empty where it is not known. */
  find(requestId: string): readonly TraceEvent[] {
    return this.traces.get(requestId) ?? [];
  }
}
