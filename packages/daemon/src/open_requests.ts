import type {RefusalReason} from '@fescuespool/coordination';
import {REFUSAL_REASON} from '@fescuespool/coordination';
import {REQUEST_PHASE} from './constants.js';
import type {RequestPhase} from './types.js';

/** A request that the entry has accepted and not yet finished. */
export interface OpenRequest {
  readonly requestId: string;
  readonly tier: number;
  preemptible: boolean;
  phase: RequestPhase;
  /** Bytes reserved for the request's body. */
  bodyBytes: number;
  /** Why this entry aborted the request; null if it did not. */
  abortReason: RefusalReason | null;
  readonly controller: AbortController;
}

/**
 * Open requests of an entry. Their number and their body bytes are bounded; at
 * a bound, requests of lower tiers are shed.
 */
export class OpenRequests {
  private readonly requests = new Map<string, OpenRequest>();
  private reservedBytes = 0;

  constructor(
    private readonly maxOpen: () => number,
    private readonly maxBytes: () => number = () => Infinity,
  ) {}

  /** Number of open requests. */
  get size(): number {
    return this.requests.size;
  }

  /**
   * Adds a request. At the bound it sheds a request of the lowest tier below
   * its own, waiting ones before running ones; returns false if there is none.
   */
  add(request: OpenRequest): boolean {
    if (this.requests.size >= this.maxOpen()) {
      const victim = this.findVictim(request.tier);
      if (!victim) return false;
      this.shed(victim);
    }
    this.requests.set(request.requestId, request);
    return true;
  }

  /**
   * Reserves the bytes of a request's body before they are read. At the bound
   * it sheds requests of lower tiers; returns false if that frees too few
   * bytes.
   */
  reserveBodyBytes(request: OpenRequest, bytes: number): boolean {
    while (this.reservedBytes + bytes > this.maxBytes()) {
      const victim = this.findVictim(request.tier);
      if (!victim) return false;
      this.shed(victim);
    }
    request.bodyBytes += bytes;
    this.reservedBytes += bytes;
    return true;
  }

  /** Removes a request that has ended and frees its body bytes. */
  remove(requestId: string): void {
    const request = this.requests.get(requestId);
    if (!request) return;
    this.requests.delete(requestId);
    this.reservedBytes -= request.bodyBytes;
  }

  /** Aborts a request for one of a higher tier, if it is preemptible. */
  preempt(requestId: string): void {
    const request = this.requests.get(requestId);
    if (request?.preemptible) this.abort(request, REFUSAL_REASON.PREEMPTED);
  }

  /** Aborts every request, when the time limit of a shutdown is reached. */
  abortAll(reason: RefusalReason): void {
    for (const request of this.requests.values()) this.abort(request, reason);
  }

  /**
   * Aborts a request and frees its place at once, before its handler returns.
   */
  private shed(victim: OpenRequest): void {
    this.abort(victim, REFUSAL_REASON.ENTRY_OVERLOADED);
    this.remove(victim.requestId);
  }

  private abort(request: OpenRequest, reason: RefusalReason): void {
    request.abortReason ??= reason;
    request.controller.abort();
  }

  private findVictim(tier: number): OpenRequest | null {
    let victim: OpenRequest | null = null;
    for (const request of this.requests.values()) {
      if (request.tier <= tier || request.abortReason) continue;
      const isRunning = request.phase === REQUEST_PHASE.RUNNING;
      if (isRunning && !request.preemptible) continue;
      if (!victim || isShedBefore(request, victim)) victim = request;
    }
    return victim;
  }
}

function isShedBefore(a: OpenRequest, b: OpenRequest): boolean {
  if (a.tier !== b.tier) return a.tier > b.tier;
  const isARunning = a.phase === REQUEST_PHASE.RUNNING;
  const isBRunning = b.phase === REQUEST_PHASE.RUNNING;
  return !isARunning && isBRunning;
}
