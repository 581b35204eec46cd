import type {Logger} from '@fescuespool/common';
import type {UpstreamLife, UpstreamSpec} from '@fescuespool/scheduling';
import type {Socket} from 'node:net';
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

/**
 * Records what upstreams say with their responses of whether they want requests.
 * It counts for the gateway that the upstream has the request from, which is a
 * neighbour if the request went through its tunnel.
 */
export class UpstreamStatements {
  constructor(
    private readonly log: Logger,
    private readonly upstreams: UpstreamRegistry,
    private readonly paths: UpstreamPaths,
    private readonly neighbours: NeighbourNotices,
    /** Called when it becomes known that an upstream leaves. */
    private readonly onLeaving: (instanceId: string) => void,
  ) {}

  /** Records the statements in a response head. */
  recordResponse({upstream, head, socket, requestId}: HeardResponse): void {
    if (!head.isLeaving) return;
    const {instanceId, startedAtUnixMs} = upstream;
    const life = {instanceId, startedAtUnixMs};
    this.recordLeaving(life, {id: requestId});
    const neighbour = this.paths.neighbourOf(socket);
    if (neighbour) {
      void this.neighbours.tell(neighbour, {...life, isLeaving: true});
    }
  }

  /** Records what a member heard through this gateway's tunnel. */
  adoptNotice({senderId, isLeaving, ...life}: UpstreamNotice): void {
    if (isLeaving) this.adoptLeaving(life, senderId);
  }

  /** Records that another member knows that an upstream leaves. */
  adoptLeaving(life: UpstreamLife, memberId: string): void {
    this.recordLeaving(life, {reportedBy: memberId});
  }

  private recordLeaving(
    {instanceId, startedAtUnixMs}: UpstreamLife,
    source: {readonly id?: string; readonly reportedBy?: string},
  ): void {
    if (!this.upstreams.recordLeaving({instanceId, startedAtUnixMs})) return;
    this.log.info('upstream_leaving_told', {
      ...source,
      upstream: instanceId,
      startedAtUnixMs: startedAtUnixMs ?? undefined,
    });
    this.onLeaving(instanceId);
  }
}
