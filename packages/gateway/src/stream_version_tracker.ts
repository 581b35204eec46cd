import type {UpstreamSpec} from '@fescuespool/scheduling';
import type {GatewayContext} from './gateway_context.js';
import {routeLabels} from './gateway_metrics.js';
import type {OpenRequest} from './open_request.js';
import type {StreamProgress} from './stream_relay.js';

/** The send that brings events of a stream. */
export interface StreamSend {
  readonly upstream: UpstreamSpec;
  readonly service: string;
  /** Number of the send, from 1. */
  readonly send: number;
}

/** Keeps and shares the software version that a stream is bound to. */
export class StreamVersionTracker {
  /** Whether the send begins the stream. */
  private readonly isNew: boolean;

  constructor(
    private readonly gateway: GatewayContext,
    private readonly request: OpenRequest,
    private readonly progress: StreamProgress,
    private readonly streamSend: StreamSend,
  ) {
    this.isNew = progress.lastEventId === null;
  }

  /**
   * Shares where a new stream has begun, so that its caller can resume it through
   * other gateways. Not before its first event: a send without one may be followed
   * by another at another version, of which some of those that were told of the
   * first might not hear.
   */
  async shareOrigin(): Promise<void> {
    const {upstream, service, send} = this.streamSend;
    const {softwareVersion} = upstream;
    const {isResumable} = this.request.admission.route;
    if (!this.isNew || !isResumable || softwareVersion === null) return;
    const {requestId} = this.request.head;
    const origin = {service, softwareVersion, send};
    await this.gateway.streamOrigins.share(requestId, origin);
  }

  /**
   * Binds the stream to the version whose first event has arrived, and reports
   * it if the stream goes on from an earlier event.
   */
  recordFirstEvent(): void {
    const {progress, gateway} = this;
    const {instanceId, softwareVersion} = this.streamSend.upstream;
    const beganAt = progress.softwareVersion;
    progress.softwareVersion = softwareVersion;
    if (progress.lastEventId === null) return;
    const {head, admission} = this.request;
    const by = progress.hasSentHead ? 'gateway' : 'caller';
    gateway.log.info('stream_resumed', {
      id: head.requestId,
      resumes: head.resumedRequestId ?? undefined,
      by,
      after: progress.lastEventId,
      upstream: instanceId,
      version: softwareVersion ?? undefined,
      beganAt: beganAt ?? undefined,
    });
    gateway.metrics.recordResume(
      routeLabels(admission.route),
      by,
      toVersionMatch(beganAt, softwareVersion),
    );
  }
}

/** Metric label: whether a stream goes on at the version that began it. */
function toVersionMatch(
  beganAt: string | null,
  version: string | null,
): 'same' | 'other' | 'unknown' {
  if (beganAt === null || version === null) return 'unknown';
  return beganAt === version ? 'same' : 'other';
}
