import type {LogFields, LogValue} from '@fescuespool/common';
import {LRUCache} from 'lru-cache';
import {MAX_TRACES} from './constants.js';

/** One recorded event of a request, such as its arrival or a refusal. */
export interface TraceEvent {
  readonly atMs: number;
  readonly event: string;
  readonly fields: Readonly<Record<string, LogValue>>;
}

/** Keeps the events of the most recent requests for operators. */
export class TraceLog {
  private readonly traces = new LRUCache<string, TraceEvent[]>({
    max: MAX_TRACES,
  });

  constructor(private readonly wallMs: () => number) {}

  /** Appends an event with the current time to a request's trace. */
  add(requestId: string, event: string, fields: LogFields = {}): void {
    const events = this.traces.get(requestId) ?? [];
    events.push({atMs: this.wallMs(), event, fields});
    this.traces.set(requestId, events);
  }

  /** Returns a request's events, oldest first; empty if none are kept. */
  find(requestId: string): readonly TraceEvent[] {
    return this.traces.get(requestId) ?? [];
  }
}
