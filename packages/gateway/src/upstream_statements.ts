import type {Clock, Logger} from '@fescuespool/common';
import type {
  UpstreamLife,
  UpstreamPauses,
  UpstreamSpec,
} from '@fescuespool/scheduling';
import type {Socket} from 'node:net';
import {MIN_PAUSE_CHANGE_MS} from './constants.js';
import type {UpstreamNotice} from './messages.js';
import type {NeighbourNotices} from './neighbour_notices.js';
import type {UpstreamResponseHead} from './types.js';
import type {UpstreamPaths} from './upstream_paths.js';
import type {UpstreamRegistry} from './upstream_registry.js';

/** A response head of an upstream, and what it answers. */
export interface HeardResponse {
  readonly upstream: UpstreamSpec;
  readonly head: UpstreamResponseHead;
  /** Connection on which it arrived. */
  readonly socket: Socket;
  readonly requestId: string;
}

/** Dependencies of `UpstreamStatements`. */
export interface UpstreamStatementsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly memberId: string;
  readonly upstreams: UpstreamRegistry;
  readonly pauses: UpstreamPauses;
  readonly paths: UpstreamPaths;
  readonly neighbours: NeighbourNotices;
  /** Called when it becomes known that an upstream leaves. */
  readonly onLeaving: (instanceId: string) => void;
  /** Called when an upstream wants a longer pause than was known. */
  readonly onPause: (instanceId: string) => void;
}

/** Where a statement comes from, for the log. */
interface StatementSource {
  /** Request that it answers. */
  readonly id?: string;
  /** Member that heard it. */
  readonly reportedBy?: string;
}

/**
 * Records what upstreams say with their responses of whether they want requests.
 * It counts for the gateway that the upstream has the request from, which is a
 * neighbour if the request went through its tunnel. A pause that a neighbour was
 * asked for counts here as well, since the requests come from here.
 */
export class UpstreamStatements {
  constructor(private readonly options: UpstreamStatementsOptions) {}

  /** Records the statements in a response head. */
  recordResponse({upstream, head, socket, requestId}: HeardResponse): void {
    const {isLeaving, pauseMs} = head;
    if (!isLeaving && pauseMs === null) return;
    const {instanceId, startedAtUnixMs} = upstream;
    const life = {instanceId, startedAtUnixMs};
    const source = {id: requestId};
    const {paths, neighbours, clock} = this.options;
    const neighbour = paths.neighbourOf(socket);
    if (isLeaving) {
      this.recordLeaving(life, source);
      if (neighbour) void neighbours.tellLeaving(neighbour, life);
    }
    if (pauseMs !== null) {
      const untilMs = clock.monotonicMs() + pauseMs;
      this.recordPause(life, untilMs, source);
      if (neighbour) void neighbours.tellPause(neighbour, {...life, untilMs});
    }
  }

  /** Records what a member heard through this gateway's tunnel. */
  adoptNotice({senderId, isLeaving, pauseMs, ...life}: UpstreamNotice): void {
    if (isLeaving) this.adoptLeaving(life, senderId);
    if (pauseMs === null) return;
    const untilMs = this.options.clock.monotonicMs() + pauseMs;
    this.recordPause(life, untilMs, {reportedBy: senderId});
  }

  /** Records that another member knows that an upstream leaves. */
  adoptLeaving(life: UpstreamLife, memberId: string): void {
    this.recordLeaving(life, {reportedBy: memberId});
  }

  /** Milliseconds for which an upstream wants no requests from this gateway. */
  pauseLeftMs(upstream: UpstreamLife): number {
    const {pauses, memberId, clock} = this.options;
    return pauses.waitMs(memberId, upstream, clock.monotonicMs());
  }

  /** Number of upstreams that want no requests from this gateway. */
  get pausedCount(): number {
    const {pauses, memberId, clock} = this.options;
    return pauses.pausesOf(memberId, clock.monotonicMs()).length;
  }

  /** Whether this gateway sends nothing to an address, for neighbours neither. */
  declines(address: string): boolean {
    const {upstreams} = this.options;
    const specs = upstreams.registeredAt(address);
    return (
      specs.length > 0 &&
      specs.every(spec => spec.isLeaving || this.pauseLeftMs(spec) > 0)
    );
  }

  private recordLeaving(
    {instanceId, startedAtUnixMs}: UpstreamLife,
    source: StatementSource,
  ): void {
    const {upstreams, log, onLeaving} = this.options;
    if (!upstreams.recordLeaving({instanceId, startedAtUnixMs})) return;
    log.info('upstream_leaving_told', {
      ...source,
      upstream: instanceId,
      startedAtUnixMs: startedAtUnixMs ?? undefined,
    });
    onLeaving(instanceId);
  }

  private recordPause(
    {instanceId, startedAtUnixMs}: UpstreamLife,
    untilMs: number,
    source: StatementSource,
  ): void {
    const {pauses, memberId, clock, log, onPause} = this.options;
    const pause = {instanceId, startedAtUnixMs, untilMs};
    const nowMs = clock.monotonicMs();
    // Many requests that were under way may be rejected with the same pause.
    const addedMs = pauses.record(memberId, pause, nowMs);
    if (addedMs < MIN_PAUSE_CHANGE_MS) return;
    const ms = Math.round(untilMs - nowMs);
    log.info('upstream_paused', {...source, upstream: instanceId, ms});
    onPause(instanceId);
  }
}
