import type {JsonResponse} from '@fescuespool/bench';
import {callJson, Fleet, smallFleetPlan, waitFor} from '@fescuespool/bench';
import {sleep} from '@fescuespool/common';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const IN_FORCE_LIMIT_MS = 4_000;
const ENTRIES = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];

describe('versioned configuration', () => {
  let fleet: Fleet;
  let serial = 0;
  /** Versions seen on each daemon, in order. */
  const seen = new Map<string, number[]>();
  let watching = true;

  const submit = (
    entry: string,
    baseVersion: number,
    patchId = `patch-${++serial}`,
  ): Promise<JsonResponse> => {
    const service = {kind: 'model', defaultDeadlineMs: 1_000 + ++serial};
    return callJson(`${fleet.daemon(entry).operatorUrl}/config/patch`, 'POST', {
      patchId,
      baseVersion,
      patch: {services: {extra: service}},
    });
  };
  const runningEntries = (): string[] =>
    ENTRIES.filter(id => fleet.daemons.get(id)?.process.isRunning);
  const waitInForce = async (version: number): Promise<number> => {
    const start = performance.now();
    await waitFor(`version ${version} is in force everywhere`, async () => {
      const versions = await Promise.all(
        runningEntries().map(id => fleet.configVersionOf(id)),
      );
      return versions.every(found => found >= version);
    });
    return performance.now() - start;
  };
  const currentVersion = (): Promise<number> =>
    fleet.configVersionOf('entry-1');
  const watch = async (id: string): Promise<void> => {
    const list: number[] = [];
    seen.set(id, list);
    while (watching) {
      const {isRunning} = fleet.daemon(id).process;
      const version = isRunning
        ? await fleet.configVersionOf(id).catch(() => 0)
        : 0;
      if (version > 0) list.push(version);
      await sleep(20);
    }
  };

  beforeAll(async () => {
    fleet = await Fleet.start(
      smallFleetPlan({
        daemons: 4,
        models: 1,
        applications: 0,
        overrides: {hasLinkProxies: true},
      }),
    );
    for (const id of ENTRIES) void watch(id);
  });
  afterAll(async () => {
    watching = false;
    await fleet.close();
  });

  it('is in force everywhere within the limit', async () => {
    const base = await currentVersion();
    expect((await submit('entry-2', base)).status).toBe(200);
    expect(await waitInForce(base + 1)).toBeLessThan(IN_FORCE_LIMIT_MS);
  });

  it('accepts one of the operators that race', async () => {
    const base = await currentVersion();
    const answers = await Promise.all(ENTRIES.map(id => submit(id, base)));
    const statuses = answers.map(answer => answer.status).sort();
    expect(statuses).toEqual([200, 409, 409, 409]);
    await waitInForce(base + 1);
  });

  it('tells an accepted patch whose answer was lost', async () => {
    const base = await currentVersion();
    await fleet.setFaults('platform', {
      loseCasAnswers: 1,
      loseCasPrefix: 'config/head',
    });
    const answer = await submit('entry-3', base);
    expect(answer).toMatchObject({status: 200, body: {version: base + 1}});
    await waitInForce(base + 1);
  });

  it('tells a patch that was sent twice under one identifier', async () => {
    const base = await currentVersion();
    const first = await submit('entry-1', base, 'twice');
    const second = await submit('entry-2', base, 'twice');
    expect(second).toMatchObject({status: 200, body: first.body as object});
    expect(await waitInForce(base + 1)).toBeLessThan(IN_FORCE_LIMIT_MS);
  });

  it('does not revert on a stale read', async () => {
    const base = await currentVersion();
    await submit('entry-1', base);
    await fleet.setFaults('platform', {staleReads: 5});
    const stale = await submit('entry-2', base);
    // A stale head conflicts; a stale section can't be read. Neither is taken.
    expect([409, 503]).toContain(stale.status);
    await fleet.setFaults('platform', {staleReads: 0});
    await waitInForce(base + 1);
  });

  it('reaches a zone that is cut off once it is healed', async () => {
    const base = await currentVersion();
    for (const id of ['entry-1', 'entry-2', 'entry-4']) {
      fleet.blockLink(id, 'entry-3');
      fleet.blockLink('entry-3', id);
    }
    const source = fleet.daemon('entry-3').address;
    await fleet.setFaults('platform', {blockedSources: [source]});
    expect((await submit('entry-1', base)).status).toBe(200);
    await waitFor('the others have the version', async () => {
      const versions = await Promise.all(
        ['entry-1', 'entry-2', 'entry-4'].map(id => fleet.configVersionOf(id)),
      );
      return versions.every(version => version > base);
    });
    expect(await fleet.configVersionOf('entry-3')).toBe(base);
    for (const id of ['entry-1', 'entry-2', 'entry-4']) {
      fleet.unblockLink(id, 'entry-3');
      fleet.unblockLink('entry-3', id);
    }
    // The platform stays cut off: the version comes from the peers.
    await waitInForce(base + 1);
    await fleet.setFaults('platform', {blockedSources: []});
  });

  it('comes from peers when a daemon starts during an outage', async () => {
    await fleet.setFaults('platform', {outage: true});
    const base = await currentVersion();
    await fleet.daemon('entry-4').process.kill();
    await fleet.startDaemon('entry-4');
    await waitFor(
      'the daemon has the version',
      async () => (await fleet.configVersionOf('entry-4')) === base,
    );
    await fleet.setFaults('platform', {outage: false});
  });

  it('goes on after the death of the relays', async () => {
    await fleet.daemon('entry-1').process.kill();
    const base = await fleet.configVersionOf('entry-2');
    await waitFor('a patch is accepted', async () => {
      const answer = await submit('entry-2', base);
      return answer.status === 200 || answer.status === 409;
    });
    expect(await waitInForce(base + 1)).toBeLessThan(IN_FORCE_LIMIT_MS);
  });

  it('never reverted on any daemon', () => {
    for (const [id, versions] of seen) {
      // A daemon that was started anew has no version before its first.
      const isSorted = versions.every(
        (v, i) => i === 0 || v >= versions[i - 1]!,
      );
      expect({id, isSorted}).toEqual({id, isSorted: true});
    }
  });
});
