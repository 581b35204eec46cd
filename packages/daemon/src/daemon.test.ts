import type {TrafficResult} from '@fescuespool/bench';
import {
  countEnds,
  findExecutionBreaches,
  findRepeatedExecutions,
  Fleet,
  smallFleetPlan,
  TrafficGenerator,
  waitUntil,
} from '@fescuespool/bench';
import {sleep} from '@fescuespool/common';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

const ENTRIES = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];
const WARM_UP_MS = 700;
const SETTLE_MS = 1_500;
const SEED = 20_261_204;

describe('daemons under failure', () => {
  let fleet: Fleet;

  const startTraffic = (): TrafficGenerator =>
    new TrafficGenerator(fleet, {
      chatsPerSecond: 12,
      bookingsPerSecond: 6,
      seed: SEED,
      accounts: ['customs', 'tariffs', 'suppliers', 'archive'],
      maxTokens: 30,
      deadlineMs: 15_000,
    });
  /**
   * Checks in the upstreams' records that no request ran twice, that none ran
   * that was refused as not run, and that each booking ended with 200 or 409.
   */
  const expectInvariants = async (result: TrafficResult): Promise<void> => {
    const records = await fleet.allRecords();
    expect(findExecutionBreaches(result.chats, records)).toEqual([]);
    expect(findRepeatedExecutions(records, 'POST /bookings')).toEqual([]);
    const unfinished = result.bookings.filter(
      ({statuses}) => statuses.at(-1) !== 200 && statuses.at(-1) !== 409,
    );
    expect(unfinished).toEqual([]);
  };
  const findDispatcher = async (): Promise<string> => {
    const id = await fleet.dispatcherOf('assist', 'entry-1');
    if (!id) throw new Error('no dispatcher');
    return id;
  };
  const isolate = (id: string): void => {
    for (const other of ENTRIES.filter(entry => entry !== id)) {
      fleet.blockLink(id, other);
      fleet.blockLink(other, id);
    }
  };
  const healLinks = (): void => {
    for (const from of ENTRIES) {
      for (const to of ENTRIES) if (from !== to) fleet.unblockLink(from, to);
    }
  };
  const freeze = async (id: string, ms: number): Promise<void> => {
    const {process} = fleet.daemon(id);
    process.signal('SIGSTOP');
    await sleep(ms);
    process.signal('SIGCONT');
  };
  const stopPlatform = async (ms: number): Promise<void> => {
    await fleet.setFaults('platform', {outage: true});
    await sleep(ms);
    await fleet.setFaults('platform', {outage: false});
  };

  beforeEach(async () => {
    fleet = await Fleet.start(
      // Each of the two upstreams has slots for all of the traffic, so that no
      // request is preempted.
      smallFleetPlan({
        daemons: 4,
        slots: 32,
        overrides: {hasLinkProxies: true},
      }),
    );
  });
  afterEach(async () => {
    for (const id of ENTRIES) fleet.daemon(id).process.signal('SIGCONT');
    await fleet.close();
  });

  describe('failures', () => {
    const cases: ReadonlyArray<{
      readonly name: string;
      readonly fault: () => Promise<void>;
      /** Accepted ways for a chat to end besides a complete response. */
      readonly allowedEnds: readonly string[];
    }> = [
      {
        name: 'the dispatcher is killed',
        fault: async () => fleet.daemon(await findDispatcher()).process.kill(),
        allowedEnds: ['broken'],
      },
      {
        name: 'an entry is killed and replaced',
        fault: async () => {
          await fleet.daemon('entry-2').process.kill();
          await fleet.startDaemon('entry-2');
        },
        allowedEnds: ['broken'],
      },
      {
        name: 'the dispatcher is frozen past every timeout',
        fault: async () => freeze(await findDispatcher(), 4_000),
        allowedEnds: ['broken'],
      },
      {
        name: 'one daemon is partitioned and reconnected',
        fault: async () => {
          isolate('entry-3');
          await sleep(3_000);
          healLinks();
        },
        allowedEnds: [],
      },
      {
        name: 'messages from an entry to its dispatcher are lost',
        fault: async () => {
          const to = await findDispatcher();
          const from = ENTRIES.find(id => id !== to) ?? '';
          fleet.blockLink(from, to);
          await sleep(3_000);
          healLinks();
        },
        allowedEnds: [],
      },
      {
        name: 'the platform is unavailable',
        fault: () => stopPlatform(3_000),
        allowedEnds: [],
      },
      {
        name: 'an upstream is killed and restarted',
        fault: async () => {
          await fleet.killUpstream('engine-1');
          await sleep(1_000);
          await fleet.startUpstream(fleet.upstream('engine-1').plan);
        },
        allowedEnds: ['broken', 'upstream_failed'],
      },
      {
        name: 'the dispatcher is killed during a platform outage',
        fault: async () => {
          const id = await findDispatcher();
          await Promise.all([
            stopPlatform(2_000),
            fleet.daemon(id).process.kill(),
          ]);
        },
        allowedEnds: ['broken'],
      },
      {
        name: 'an upstream is killed while a daemon is partitioned',
        fault: async () => {
          isolate('entry-4');
          await fleet.killUpstream('engine-2');
          await sleep(2_000);
          healLinks();
        },
        allowedEnds: ['broken', 'upstream_failed'],
      },
    ];

    it.each(cases)(
      'run each request at most once and end it as expected when $name',
      async testCase => {
        const traffic = startTraffic();
        await sleep(WARM_UP_MS);
        await testCase.fault();
        await sleep(SETTLE_MS);
        const result = await traffic.stop();
        await expectInvariants(result);
        const ends = Object.keys(countEnds(result.chats));
        const allowed = ['whole', ...testCase.allowedEnds];
        expect(ends.filter(end => !allowed.includes(end))).toEqual([]);
      },
    );
  });

  describe('graceful shutdown', () => {
    const stop = async (ids: readonly string[]): Promise<void> => {
      const processes = ids.map(id => fleet.daemon(id).process);
      for (const process of processes) process.signal('SIGTERM');
      await Promise.all(processes.map(process => process.waitForExit()));
      expect(processes.map(process => process.exitCode)).toEqual(
        ids.map(() => 0),
      );
    };
    const cases: ReadonlyArray<{
      readonly name: string;
      readonly shutDown: () => Promise<void>;
    }> = [
      {
        name: 'the dispatcher',
        shutDown: async () => stop([await findDispatcher()]),
      },
      {
        name: 'two daemons at once',
        shutDown: () => stop(['entry-1', 'entry-3']),
      },
      {
        name: 'all daemons in turn',
        shutDown: async () => {
          for (const id of ENTRIES) {
            await stop([id]);
            await fleet.startDaemon(id);
            await fleet.waitUntilReady();
          }
        },
      },
    ];

    it.each(cases)('of $name interrupts no request', async ({shutDown}) => {
      const traffic = startTraffic();
      await sleep(WARM_UP_MS);
      await shutDown();
      await sleep(SETTLE_MS);
      const result = await traffic.stop();
      await expectInvariants(result);
      const ends = countEnds(result.chats);
      expect(ends).toEqual({whole: result.chats.length});
      const statuses = result.bookings.flatMap(booking => booking.statuses);
      expect(statuses.filter(status => status !== 200)).toEqual([]);
    });
  });

  describe('leaving upstreams', () => {
    const expectNoNewWork = async (id: string): Promise<void> => {
      await sleep(2_000);
      const before = (await fleet.records(id)).length;
      await sleep(2_000);
      expect((await fleet.records(id)).length).toBe(before);
    };

    it('get no new requests once the VM list says so, even if relays are killed', async () => {
      const traffic = startTraffic();
      await sleep(WARM_UP_MS);
      // The relays of zone-a.
      await fleet.daemon('entry-1').process.kill();
      await fleet.daemon('entry-4').process.kill();
      await fleet.publishVms(['engine-1']);
      await expectNoNewWork('engine-1');
      await expectInvariants(await traffic.stop());
    });

    it('get no new requests once they report it, even during a platform outage', async () => {
      const traffic = startTraffic();
      await sleep(WARM_UP_MS);
      await fleet.setFaults('platform', {outage: true});
      await fleet.setFaults('engine-2', {leaving: true});
      await expectNoNewWork('engine-2');
      await fleet.setFaults('platform', {outage: false});
      const result = await traffic.stop();
      expect(countEnds(result.chats)).toEqual({whole: result.chats.length});
    });
  });

  it('choose a new dispatcher after the current one is killed', async () => {
    const id = await findDispatcher();
    const entry = ENTRIES.find(other => other !== id) ?? '';
    await fleet.daemon(id).process.kill();
    await waitUntil('a new dispatcher', async () => {
      const next = await fleet.dispatcherOf('assist', entry);
      return next !== null && next !== id;
    });
  });
});
