import {sleep} from '@fescuespool/common';
import type {UpstreamSpec} from '@fescuespool/scheduling';
import type {Socket} from 'node:net';
import type {GatewayContext} from './gateway_context.js';
import {routeLabels} from './gateway_metrics.js';
import {confirmLife} from './grant_check.js';
import type {OpenRequest} from './open_request.js';
import {NEW_STREAM_CONFIRMATION_TIMEOUT_MS} from './stream_constants.js';
import {UNKNOWN_VERSION} from './stream_origin.js';
import type {StreamProgress} from './stream_relay.js';

/** The send that brings events of a stream. */
export interface StreamSend {
  readonly upstream: UpstreamSpec;
  readonly service: string;
  /** Number of the send, from 1. */
  readonly send: number;
  /** Connection that brings them. */
  readonly socket: Socket;
}

/** Keeps and shares the software version that a stream is bound to. */
export class StreamVersionTracker {
  /** Whether the send begins the stream. */
  private readonly isNew: boolean;
  /** Whether the upstream has the registered version; null until asked. */
  private confirmation: Promise<boolean> | null = null;

  constructor(
    private readonly gateway: GatewayContext,
    private readonly request: OpenRequest,
    private readonly progress: StreamProgress,
    private readonly streamSend: StreamSend,
  ) {
    this.isNew = progress.lastEventId === null;
  }

  /**
   * Finds out whether the upstream is in its registered life: it may have started
   * again under its id, with other software, before its entry has changed. Only a
   * new stream at a connection that was not confirmed needs to ask.
   */
  confirm(): void {
    if (!this.bindsNew) return;
    const {gateway, request} = this;
    const {upstream, socket} = this.streamSend;
    if (gateway.confirmedConnections.has(socket, upstream)) return;
    const {requestId} = request.head;
    const {signal} = request.timer;
    this.confirmation = confirmLife(upstream, requestId, signal, gateway).then(
      end => {
        if (end === null) gateway.confirmedConnections.add(socket, upstream);
        return end === null;
      },
      (e: unknown) => {
        gateway.log.error('life_check_failed', {
          upstream: upstream.instanceId,
          err: String(e),
        });
        return false;
      },
    );
  }

  /**
   * Shares where a new stream has begun, so that its caller can resume it through
   * other gateways. Not before its first event: a send without one may be followed
   * by another at another version, of which some of those that were told of the
   * first might not hear.
   */
  async shareOrigin(): Promise<void> {
    if (!this.bindsNew) return;
    const {confirmation} = this;
    if (confirmation) {
      const isConfirmed = await Promise.race([
        confirmation,
        sleep(NEW_STREAM_CONFIRMATION_TIMEOUT_MS),
      ]);
      if (isConfirmed === undefined) {
        void confirmation.then(async isLate => {
          if (isLate) await this.bindNew();
        });
      }
      if (!isConfirmed) return this.shareVersion(UNKNOWN_VERSION);
    }
    await this.bindNew();
  }

  /** Resolves once it is known whether a new stream may go on elsewhere. */
  async whenConfirmed(): Promise<void> {
    await this.confirmation;
  }

  /** Whether it begins a stream that is bound to its upstream's version. */
  private get bindsNew(): boolean {
    const {isResumable} = this.request.admission.route;
    const {softwareVersion} = this.streamSend.upstream;
    return this.isNew && isResumable && softwareVersion !== null;
  }

  /** Binds a new stream to its upstream's version, which is confirmed. */
  private async bindNew(): Promise<void> {
    const {softwareVersion} = this.streamSend.upstream;
    this.progress.softwareVersion = softwareVersion;
    await this.shareVersion(softwareVersion ?? UNKNOWN_VERSION);
  }

  private async shareVersion(softwareVersion: string): Promise<void> {
    const {service, send} = this.streamSend;
    const {requestId} = this.request.head;
    const origin = {service, softwareVersion, send};
    const {route} = this.request.admission;
    await this.gateway.streamOrigins.share(requestId, origin, route);
  }

  /**
   * Binds the stream to the version whose first event has arrived, and reports
   * it if the stream goes on from an earlier event. A new one that may be resumed
   * is bound by `shareOrigin`.
   */
  recordFirstEvent(): void {
    const {progress, gateway} = this;
    const {instanceId, softwareVersion} = this.streamSend.upstream;
    if (this.bindsNew) return;
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
