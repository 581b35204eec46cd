import type {Logger} from '@fescuespool/common';
import {sleep, SYSTEM_CLOCK} from '@fescuespool/common';
import {QuotaLedger} from '@fescuespool/scheduling';
import {PeerNetwork} from '@fescuespool/transport';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {ConfigState} from './config_state.js';
import {GATEWAY_METHOD, USAGE_HUB_KEY} from './constants.js';
import {MemberDirectory} from './member_directory.js';
import {USAGE_REPORT_SCHEMA} from './messages.js';
import {PeerMonitor} from './peer_monitor.js';
import type {GatewayConfig, GatewayMember} from './types.js';
import {UsageExchange} from './usage_exchange.js';

const LIMIT = {perSecond: 10_000, burst: 10_000};
const ACCOUNT = 'a';
/** Fraction of the quota that callers use in total. */
const DEMAND = 0.55;
const STEP_MS = 20;
const MEMBERS = 4;

const ignore = (): void => undefined;
const SILENT: Logger = {
  debug: ignore,
  info: ignore,
  warn: ignore,
  error: ignore,
};

function emptyConfig(version: number): GatewayConfig {
  return {
    version,
    routes: [],
    accountsByKey: new Map(),
    requiresKeys: true,
    limits: {maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1},
  };
}

/**
 * A member with its own listener; it stops answering the members in silentTo.
 */
class TestMember {
  readonly quotas = new QuotaLedger();
  readonly configState = new ConfigState(SYSTEM_CLOCK.monotonicMs, SILENT);
  readonly network: PeerNetwork;
  readonly silentTo = new Set<string>();
  /** Names of the info events it logged. */
  readonly events: string[] = [];
  directory!: MemberDirectory;
  exchange!: UsageExchange;
  private monitor!: PeerMonitor;

  constructor(
    readonly id: string,
    readonly port: number,
  ) {
    this.network = new PeerNetwork({host: '127.0.0.1', port});
  }

  get logger(): Logger {
    return {...SILENT, info: event => void this.events.push(event)};
  }

  get member(): GatewayMember {
    const address = `127.0.0.1:${this.port}`;
    return {
      id: this.id,
      zone: 'z',
      address,
      isLeaving: false,
      tunnelAddress: null,
    };
  }

  async start(all: readonly GatewayMember[]): Promise<void> {
    this.directory = new MemberDirectory(this.member);
    this.directory.setMembers(all);
    this.monitor = new PeerMonitor(
      SYSTEM_CLOCK,
      SILENT,
      this.directory,
      this.network,
    );
    this.exchange = new UsageExchange(
      SYSTEM_CLOCK,
      this.logger,
      this.directory,
      this.network,
      this.monitor,
      [this.quotas],
      this.configState,
    );
    await this.network.listen({
      [GATEWAY_METHOD.PING]: async () => {
        while (this.silentTo.size > 0) await sleep(STEP_MS);
        return {};
      },
      [GATEWAY_METHOD.USAGE]: async params => {
        const report = USAGE_REPORT_SCHEMA.parse(params);
        // To the caller, a connection cut in one direction looks the same.
        while (this.silentTo.has(report.memberId)) await sleep(STEP_MS);
        return this.exchange.handleUsageReport(report);
      },
    });
    this.quotas.openBucket(ACCOUNT, LIMIT, SYSTEM_CLOCK.monotonicMs());
  }

  close(): void {
    this.monitor.close();
    this.exchange.close();
    this.network.close();
  }
}

describe('UsageExchange', () => {
  let members: TestMember[];

  beforeEach(async () => {
    members = Array.from(
      {length: MEMBERS},
      (_, i) => new TestMember(`m${i}`, 17_860 + i),
    );
    const all = members.map(({member}) => member);
    for (const member of members) await member.start(all);
  });

  afterEach(() => members.forEach(member => member.close()));

  /**
   * Charges the total demand at the given members for some milliseconds;
   * returns the number of refused charges.
   */
  const chargeDemand = async (
    at: readonly TestMember[],
    ms: number,
  ): Promise<number> => {
    const perMember = (DEMAND * LIMIT.perSecond) / at.length;
    const start = SYSTEM_CLOCK.monotonicMs();
    let refused = 0;
    let requested = 0;
    for (let now = start; now < start + ms; now = SYSTEM_CLOCK.monotonicMs()) {
      const due = ((now - start) * perMember) / 1_000;
      for (; requested < due; requested += STEP_MS) {
        for (const {quotas} of at) {
          if (quotas.charge(ACCOUNT, LIMIT, STEP_MS, now, 2) > 0) refused++;
        }
      }
      await sleep(STEP_MS);
    }
    return refused;
  };

  it('uses another member as hub when the hub stops answering', async () => {
    await chargeDemand(members, 500);
    const hubId = members[0]!.directory.ownerOf(USAGE_HUB_KEY).id;
    const others = members.filter(({id}) => id !== hubId);
    const hub = members.find(({id}) => id === hubId)!;
    for (const {id} of others) hub.silentTo.add(id);
    // All callers are connected to one member.
    expect(await chargeDemand(others.slice(0, 1), 3_500)).toBe(0);
  });

  it('does not charge accounts twice after a partition', async () => {
    await chargeDemand(members, 500);
    const [sideA, sideB] = [members.slice(0, 2), members.slice(2)];
    for (const a of sideA) {
      for (const b of sideB) {
        a.silentTo.add(b.id);
        b.silentTo.add(a.id);
        a.directory.markSuspected(b.id);
        b.directory.markSuspected(a.id);
      }
    }
    await chargeDemand(members, 3_500);
    expect(sideA[0]!.events).toContain('quota_share_changed');
    for (const a of members) {
      a.silentTo.clear();
      for (const b of members) a.directory.clearSuspicion(b.id);
    }
    expect(await chargeDemand(members, 1_500)).toBe(0);
  });

  it('lets no member confirm a configuration that is older than another has', async () => {
    for (const {configState} of members) configState.apply(emptyConfig(1));
    members[0]!.configState.apply(emptyConfig(2));
    await sleep(500);
    for (const {configState} of members) {
      configState.confirm(SYSTEM_CLOCK.monotonicMs());
    }
    const ages = members.map(({configState}) => configState.ageMs);
    expect(ages.map(age => age < 1_000)).toEqual([true, false, false, false]);
  });
});
