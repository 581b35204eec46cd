import {jitterMs, sleep} from '@fescuespool/common';
import type {Member, StateVersions} from '@fescuespool/coordination';
import {rankMembers} from '@fescuespool/coordination';
import {
  CONFIG_HEAD_ANSWER_SCHEMA,
  PEER_METHOD,
  VM_LIST_SCHEMA,
} from '@fescuespool/protocol';
import type {
  ConfigSection,
  ConfigVersionEntry,
  PlatformStore,
  ReadVmList,
  VmListing,
} from '@fescuespool/state';
import {
  CONFIG_HEAD_KEY,
  parseHead,
  writeVersionAgain,
} from '@fescuespool/state';
import {callPeer} from '@fescuespool/transport';
import {z} from 'zod';
import {
  PEER_CALL_TIMEOUT_MS,
  PLATFORM_BACKOFF_MS,
  RELAY_CHECK_INTERVAL_MS,
  RELAYS_PER_ZONE,
  WATCH_WAIT_MS,
} from './constants.js';
import type {DaemonContext} from './types.js';

const RELAY_KEY = 'relay';
const SECTION_ANSWER_SCHEMA = z.object({
  section: z.record(z.string(), z.unknown()).nullable(),
});

/** Reads a section by its store key; null if it is not available. */
type ReadSection = (name: string, key: string) => Promise<ConfigSection | null>;

/**
 * Keeps the configuration and the VM list up to date. The relays of a zone watch
 * the platform; the other daemons pull new versions from their peers.
 */
export class ConfigSync {
  private listing: VmListing = {revision: 0, vms: []};
  private isPulling = false;
  private pendingPullPeer: Member | null = null;

  constructor(
    private readonly context: DaemonContext,
    private readonly store: PlatformStore,
    private readonly readVmList: ReadVmList,
    private readonly onVmList: (listing: VmListing) => void,
  ) {
    store.epoch.onChange(() => void this.writeVersionAgain());
  }

  /** Current configuration version and VM list revision of this process. */
  get versions(): StateVersions {
    return {
      config: this.context.config.version,
      vms: this.listing.revision,
      storeEpoch: this.store.epoch.current,
    };
  }

  /** The newest VM list received; empty at revision 0 before the first. */
  get vmList(): VmListing {
    return this.listing;
  }

  /** Whether this process watches the platform for its zone. */
  get isRelay(): boolean {
    const {membership, settings} = this.context;
    const zone = membership.eligibleIds(settings.zone);
    const ranked = rankMembers(zone, RELAY_KEY);
    return ranked.slice(0, RELAYS_PER_ZONE).includes(settings.memberId);
  }

  /** Watches the configuration head while this process is a relay. */
  async watchConfig(signal: AbortSignal): Promise<void> {
    let revision = 0;
    // A restored store gives out its revisions again.
    this.store.epoch.onChange(() => (revision = 0));
    while (!signal.aborted) {
      if (!this.isRelay) {
        await sleep(RELAY_CHECK_INTERVAL_MS, signal);
        continue;
      }
      const head = await this.store.watch(
        CONFIG_HEAD_KEY,
        revision,
        WATCH_WAIT_MS,
      );
      if (head.isErr()) {
        this.context.log.warn('config_watch_failed', {
          err: head.error.message,
        });
        await sleep(jitterMs(PLATFORM_BACKOFF_MS), signal);
      } else if (head.value) {
        const newest = parseHead(head.value.value).recent[0];
        const isHandled =
          !newest || (await this.applyVersion(newest, this.readFromStore));
        if (isHandled) revision = head.value.revision;
        else await sleep(jitterMs(PLATFORM_BACKOFF_MS), signal);
      }
    }
  }

  /** Watches the VM list while this process is a relay. */
  async watchVmList(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.isRelay) {
        await sleep(RELAY_CHECK_INTERVAL_MS, signal);
        continue;
      }
      const {revision} = this.listing;
      const listing = await this.readVmList(revision, WATCH_WAIT_MS);
      if (listing.isErr()) await sleep(jitterMs(PLATFORM_BACKOFF_MS), signal);
      else if (listing.value) this.applyVmList(listing.value);
    }
  }

  /**
   * Pulls the configuration and the VM list from a peer where its versions are
   * higher. If a pull is already running, the configuration of the last peer
   * passed meanwhile is pulled after it.
   */
  async pullFrom(member: Member, versions: StateVersions): Promise<void> {
    this.store.epoch.record(versions.storeEpoch);
    if (this.isPulling) {
      this.pendingPullPeer = member;
      return;
    }
    this.isPulling = true;
    if (versions.config > this.versions.config) await this.pullConfig(member);
    if (versions.vms > this.versions.vms) await this.pullVmList(member);
    this.isPulling = false;
    const nextPeer = this.pendingPullPeer;
    this.pendingPullPeer = null;
    if (nextPeer) await this.pullConfig(nextPeer);
  }

  /** Applies a configuration version that a peer announced. */
  async handleAnnouncement(
    entry: ConfigVersionEntry,
    from: Member,
  ): Promise<void> {
    await this.applyVersion(entry, this.peerReader(from));
  }

  /** Reads the newest version from the store and applies it. */
  async refreshFromStore(): Promise<void> {
    const head = await this.store.get(CONFIG_HEAD_KEY);
    if (head.isErr() || !head.value) return;
    const newest = parseHead(head.value.value).recent[0];
    if (newest) await this.applyVersion(newest, this.readFromStore);
  }

  /** Returns an active section if it has this store key, otherwise null. */
  sectionOf(name: string, key: string): ConfigSection | null {
    const active = this.context.config.current;
    if (active?.entry.sections[name] !== key) return null;
    return active.sections[name] ?? null;
  }

  /** Lets a restored store have the version in force again, as a relay. */
  private async writeVersionAgain(): Promise<void> {
    const {config, log} = this.context;
    const epoch = this.store.epoch.current;
    while (config.current && this.isRelay) {
      const {version} = config;
      const written = await writeVersionAgain(this.store, config.current);
      if (written.isOk()) {
        log.info('config_written_again', {version, isWritten: written.value});
        return;
      }
      log.warn('config_not_written_again', {err: written.error.message});
      await sleep(jitterMs(PLATFORM_BACKOFF_MS));
      if (this.store.epoch.current !== epoch) return;
    }
  }

  private readonly readFromStore: ReadSection = async (_name, key) => {
    const found = await this.store.get(key);
    if (found.isErr() || !found.value) return null;
    return JSON.parse(found.value.value) as ConfigSection;
  };

  private peerReader(member: Member): ReadSection {
    return async (name, key) => {
      const answer = await callPeer(
        this.context.network,
        member,
        PEER_METHOD.CONFIG_SECTION,
        {name, key},
        SECTION_ANSWER_SCHEMA,
        PEER_CALL_TIMEOUT_MS,
      );
      const section = answer.isOk() ? answer.value.section : null;
      return section as ConfigSection | null;
    };
  }

  /**
   * Reads the changed sections of a version and applies it. Returns false if a
   * section could not be read or the configuration was rejected.
   */
  private async applyVersion(
    entry: ConfigVersionEntry,
    readSection: ReadSection,
  ): Promise<boolean> {
    const {config, log} = this.context;
    if (entry.version <= config.version) return true;
    const previous = config.current;
    const sections: Record<string, ConfigSection> = {};
    for (const [name, key] of Object.entries(entry.sections)) {
      const isUnchanged = previous?.entry.sections[name] === key;
      const section = isUnchanged
        ? previous.sections[name]
        : await readSection(name, key);
      if (!section) return false;
      sections[name] = section;
    }
    const applied = config.apply(entry, sections);
    if (applied.isErr()) {
      log.error('config_rejected', {err: applied.error.message});
      return false;
    }
    if (applied.value) {
      log.info('config_in_force', {version: entry.version});
      this.announce(entry);
    }
    return true;
  }

  /**
   * Sends a new version to the other members of the relay's zone. Other zones
   * detect it by the versions in probes.
   */
  private announce(entry: ConfigVersionEntry): void {
    if (!this.isRelay) return;
    const {membership, network, settings} = this.context;
    for (const id of membership.eligibleIds()) {
      const member = membership.find(id);
      if (!member || id === settings.memberId) continue;
      if (member.zone !== settings.zone) continue;
      const params = {entry, from: membership.localMember};
      network.notify(member, PEER_METHOD.CONFIG_ANNOUNCE, params);
    }
  }

  private async pullConfig(member: Member): Promise<void> {
    const answer = await callPeer(
      this.context.network,
      member,
      PEER_METHOD.CONFIG_HEAD,
      {},
      CONFIG_HEAD_ANSWER_SCHEMA,
      PEER_CALL_TIMEOUT_MS,
    );
    const entry = answer.isOk() ? answer.value.entry : null;
    if (entry) await this.applyVersion(entry, this.peerReader(member));
  }

  private async pullVmList(member: Member): Promise<void> {
    const answer = await callPeer(
      this.context.network,
      member,
      PEER_METHOD.VM_LIST,
      {},
      VM_LIST_SCHEMA,
      PEER_CALL_TIMEOUT_MS,
    );
    if (answer.isOk()) this.applyVmList(answer.value);
  }

  private applyVmList(listing: VmListing): void {
    if (listing.revision <= this.listing.revision) return;
    this.listing = listing;
    this.onVmList(listing);
  }
}
