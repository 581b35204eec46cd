import type {UpstreamSpec} from '@fescuespool/scheduling';
import {MAX_EXCLUDED_UPSTREAMS} from './constants.js';
import type {SendOutcome} from './send_outcome.js';

/** Upstreams and availability zones that the next send of a request avoids. */
export class TriedUpstreams {
  readonly excluded: string[] = [];
  readonly avoidedZones: string[] = [];

  constructor(private readonly localZone: string) {}

  /** Excludes an upstream; no more than a grant request may name. */
  exclude(instanceId: string): void {
    const isFull = this.excluded.length >= MAX_EXCLUDED_UPSTREAMS;
    if (isFull || this.excluded.includes(instanceId)) return;
    this.excluded.push(instanceId);
  }

  /** Excludes an upstream where the request failed, or all of its zone. */
  recordFailure({instanceId, zone}: UpstreamSpec, outcome: SendOutcome): void {
    this.exclude(instanceId);
    const hasConnection =
      outcome.errorResponse !== null || !outcome.isConnectionFailure;
    if (zone === this.localZone || hasConnection) return;
    if (!this.avoidedZones.includes(zone)) this.avoidedZones.push(zone);
  }
}
