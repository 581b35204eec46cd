import type {Logger} from '@fescuespool/common';
import type {PeerNetwork} from '@fescuespool/transport';
import {callPeer} from '@fescuespool/transport';
import {LRUCache} from 'lru-cache';
import {GATEWAY_METHOD} from './constants.js';
import {
  MAX_STREAM_ORIGINS,
  ORIGIN_COPIES,
  ORIGIN_KEY_COUNT,
  ORIGIN_LOOKUP_TIMEOUT_MS,
  ORIGIN_MEMBERS_ASKED,
  ORIGIN_RECORD_GRACE_MS,
  ORIGIN_SHARE_TIMEOUT_MS,
  STREAM_ORIGIN_TTL_MS,
} from './stream_constants.js';
import type {MemberDirectory} from './member_directory.js';
import {ORIGIN_ANSWER_SCHEMA, ORIGIN_SHARED_SCHEMA} from './messages.js';
import type {ArchiveLookup, StreamArchive} from './stream_archive.js';
import type {OriginLookup, StreamOrigin} from './stream_origin.js';
import {latestOrigin} from './stream_origin.js';
import type {GatewayMember, Route} from './types.js';

/**
 * Knows where streams began, so that their callers can resume them through any
 * member. Copies go to members of several zones, chosen by the request id, and
 * outlive the member that began the stream.
 */
export class StreamOriginDirectory {
  private readonly origins = new LRUCache<string, StreamOrigin>({
    max: MAX_STREAM_ORIGINS,
    ttl: STREAM_ORIGIN_TTL_MS,
  });

  private graceTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly log: Logger,
    private readonly members: MemberDirectory,
    private readonly network: PeerNetwork,
    private readonly archive: StreamArchive,
  ) {}

  /** Records an origin here unless that of a later send is known. */
  record(requestId: string, origin: StreamOrigin): void {
    const known = this.origins.get(requestId) ?? null;
    const latest = latestOrigin([origin, known]);
    if (latest) this.origins.set(requestId, latest);
  }

  /** The origin of a stream as this member knows it. */
  get(requestId: string): StreamOrigin | null {
    return this.origins.get(requestId) ?? null;
  }

  /**
   * Records an origin here and, unless the members can tell it from what they
   * recorded, at other members and in the archive. Resolves when another member
   * has it, at the latest after ORIGIN_SHARE_TIMEOUT_MS.
   */
  async share(
    requestId: string,
    origin: StreamOrigin,
    route: Route,
  ): Promise<void> {
    this.record(requestId, origin);
    if (this.archive.open(requestId, origin, route)) {
      await this.shareWithHolders(requestId, origin);
    }
  }

  /**
   * Shares the origins of open streams that can't be told any more from what the
   * members recorded. Called when that or what they see has changed.
   */
  handleHistoryChanged(): void {
    for (const [requestId, origin] of this.archive.takeUnimplied()) {
      void this.shareWithHolders(requestId, origin);
    }
  }

  /** The same for a new configuration, and once it should be recorded. */
  handleConfigChanged(): void {
    this.handleHistoryChanged();
    clearTimeout(this.graceTimer);
    this.graceTimer = setTimeout(
      () => this.handleHistoryChanged(),
      ORIGIN_RECORD_GRACE_MS,
    );
  }

  /** Stops looking at open streams, and the archive. */
  close(): void {
    this.archive.close();
    clearTimeout(this.graceTimer);
  }

  private async shareWithHolders(
    requestId: string,
    origin: StreamOrigin,
  ): Promise<void> {
    const holders = this.othersFor(requestId).slice(0, ORIGIN_COPIES);
    if (holders.length === 0) return;
    const calls = holders.map(async holder => {
      const answer = await callPeer(
        this.network,
        holder,
        GATEWAY_METHOD.STREAM_BEGAN,
        {requestId, origin},
        ORIGIN_SHARED_SCHEMA,
        ORIGIN_SHARE_TIMEOUT_MS,
      );
      if (answer.isErr()) throw answer.error;
    });
    try {
      await Promise.any(calls);
    } catch {
      // The stream is served all the same, but only this member can resume it.
      this.log.warn('stream_origin_not_shared', {
        id: requestId,
        members: holders.map(({id}) => id).join(','),
      });
    }
  }

  /** Finds where a stream began, also if all members that knew have ended. */
  async find(requestId: string): Promise<OriginLookup> {
    const known = this.get(requestId);
    if (known) return {origin: known, isCertain: true};
    const members = this.othersFor(requestId).slice(0, ORIGIN_MEMBERS_ASKED);
    const answers = await Promise.all(
      members.map(member => this.ask(member, requestId)),
    );
    const told = latestOrigin(answers.map(answer => answer?.origin ?? null));
    const answered = answers.filter(answer => answer !== null).length;
    const archived = told ? null : await this.archive.find(requestId);
    const origin = told ?? archived?.origin ?? null;
    this.log.info('stream_origin_asked', {
      id: requestId,
      asked: members.length,
      answered,
      archive: archived ? toArchiveResult(archived) : undefined,
      service: origin?.service,
      version: origin?.softwareVersion,
    });
    const hasAllAnswers =
      answered === members.length && archived?.isRead === true;
    return {origin, isCertain: origin !== null || hasAllAnswers};
  }

  private async ask(
    member: GatewayMember,
    requestId: string,
  ): Promise<{origin: StreamOrigin | null} | null> {
    const answer = await callPeer(
      this.network,
      member,
      GATEWAY_METHOD.STREAM_ORIGIN,
      {requestId},
      ORIGIN_ANSWER_SCHEMA,
      ORIGIN_LOOKUP_TIMEOUT_MS,
    );
    return answer.unwrapOr(null);
  }

  private othersFor(requestId: string): GatewayMember[] {
    const key = `stream-origins-${bucketOf(requestId)}`;
    return this.members
      .holdersOf(key)
      .filter(member => !this.members.isSelf(member));
  }
}

/** Log field: what the archive answered. */
function toArchiveResult({
  origin,
  isRead,
}: ArchiveLookup): 'found' | 'unknown' | 'unread' {
  if (!isRead) return 'unread';
  return origin ? 'found' : 'unknown';
}

/** Few keys, since the ranking of the members is kept for each. */
function bucketOf(requestId: string): number {
  let hash = 0;
  for (const char of requestId) {
    hash = (Math.imul(hash, 31) + char.charCodeAt(0)) >>> 0;
  }
  return hash % ORIGIN_KEY_COUNT;
}
