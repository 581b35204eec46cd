import type {RefusalReason} from '@fescuespool/coordination';
import {REFUSAL_REASON} from '@fescuespool/coordination';
import {REQUEST_PHASE} from './constants.js';
import type {RequestPhase} from './types.js';

/** A request that an entry holds for its caller. */
export interface OpenRequest {
  readonly requestId: string;
  readonly tier: number;
  preemptible: boolean;
  phase: RequestPhase;
  /** Bytes of its body that are held. */
  bodyBytes: number;
  /** Why the request is being ended; null while it goes on. */
  endReason: RefusalReason | null;
  readonly controller: AbortController;
}

/** The open requests of an entry, bounded in number and shed by tier. */
export class OpenRequests {
  private readonly open = new Map<string, OpenRequest>();

  private heldBytes = 0;

  constructor(
    private readonly maxOpen: () => number,
    private readonly maxBytes: () => number = () => Infinity,
  ) {}

  /** Number of open requests. */
  get size(): number {
    return this.open.size;
  }

  /**
   * Adds a request. At the bound the lowest tier below it makes room, waiting
   * requests before running ones; false when there is none.
   */
  add(request: OpenRequest): boolean {
    if (this.open.size >= this.maxOpen()) {
      const victim = this.findVictim(request.tier);
      if (!victim) return false;
      this.shed(victim);
    }
    this.open.set(request.requestId, request);
    return true;
  }

  /**
   * Accounts for the bytes of a request's body before they are read. At the bound
   * lower tiers make room; false when they hold too little.
   */
  reserveBodyBytes(request: OpenRequest, bytes: number): boolean {
    while (this.heldBytes + bytes > this.maxBytes()) {
      const victim = this.findVictim(request.tier);
      if (!victim) return false;
      this.shed(victim);
    }
    request.bodyBytes += bytes;
    this.heldBytes += bytes;
    return true;
  }

  /** Removes a request that has ended. */
  remove(requestId: string): void {
    const request = this.open.get(requestId);
    if (!request) return;
    this.open.delete(requestId);
    this.heldBytes -= request.bodyBytes;
  }

  /** Ends a running request for a higher tier. */
  preempt(requestId: string): void {
    const request = this.open.get(requestId);
    if (request?.preemptible) this.end(request, REFUSAL_REASON.PREEMPTED);
  }

  /** Ends every request, at the limit of a shutdown. */
  endAll(reason: RefusalReason): void {
    for (const request of this.open.values()) this.end(request, reason);
  }

  /** Ends a request; its place is taken at once, its task ends a moment later. */
  private shed(victim: OpenRequest): void {
    this.end(victim, REFUSAL_REASON.ENTRY_OVERLOADED);
    this.remove(victim.requestId);
  }

  private end(request: OpenRequest, reason: RefusalReason): void {
    request.endReason ??= reason;
    request.controller.abort();
  }

  private findVictim(tier: number): OpenRequest | null {
    let victim: OpenRequest | null = null;
    for (const request of this.open.values()) {
      if (request.tier <= tier || request.endReason) continue;
      const isRunning = request.phase === REQUEST_PHASE.RUNNING;
      if (isRunning && !request.preemptible) continue;
      if (!victim || isShedBefore(request, victim)) victim = request;
    }
    return victim;
  }
}

function isShedBefore(a: OpenRequest, b: OpenRequest): boolean {
  if (a.tier !== b.tier) return a.tier > b.tier;
  const aRuns = a.phase === REQUEST_PHASE.RUNNING;
  const bRuns = b.phase === REQUEST_PHASE.RUNNING;
  return !aRuns && bRuns;
}
