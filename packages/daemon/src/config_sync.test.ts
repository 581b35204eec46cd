import type {JsonResponse} from '@fescuespool/bench';
import {callJson, Fleet, smallFleetPlan, waitUntil} from '@fescuespool/bench';
import {sleep} from '@fescuespool/common';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const MAX_PROPAGATION_MS = 4_000;
const ENTRIES = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];

describe('versioned configuration', () => {
  let fleet: Fleet;
  let sequenceNumber = 0;
  /** Versions that each daemon reported, in order. */
  const observedVersions = new Map<string, number[]>();
  let isWatching = true;

  const submit = (
    entry: string,
    baseVersion: number,
    patchId = `patch-${++sequenceNumber}`,
  ): Promise<JsonResponse> => {
    const service = {
      kind: 'model',
      defaultDeadlineMs: 1_000 + ++sequenceNumber,
    };
    return callJson(`${fleet.daemon(entry).operatorUrl}/config/patch`, 'POST', {
      patchId,
      baseVersion,
      patch: {services: {extra: service}},
    });
  };
  const runningEntries = (): string[] =>
    ENTRIES.filter(id => fleet.daemons.get(id)?.process.isRunning);
  const waitUntilInForce = async (version: number): Promise<number> => {
    const start = performance.now();
    await waitUntil(`version ${version} is active on all daemons`, async () => {
      const versions = await Promise.all(
        runningEntries().map(id => fleet.configVersionOf(id)),
      );
      return versions.every(found => found >= version);
    });
    return performance.now() - start;
  };
  const currentVersion = (): Promise<number> =>
    fleet.configVersionOf('entry-1');
  const recordVersions = async (id: string): Promise<void> => {
    const list: number[] = [];
    observedVersions.set(id, list);
    while (isWatching) {
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
    for (const id of ENTRIES) void recordVersions(id);
  });
  afterAll(async () => {
    isWatching = false;
    await fleet.close();
  });

  it('is active on all daemons within the propagation limit', async () => {
    const base = await currentVersion();
    expect((await submit('entry-2', base)).status).toBe(200);
    expect(await waitUntilInForce(base + 1)).toBeLessThan(MAX_PROPAGATION_MS);
  });

  it('accepts exactly one of several concurrent patches', async () => {
    const base = await currentVersion();
    const responses = await Promise.all(ENTRIES.map(id => submit(id, base)));
    const statuses = responses.map(response => response.status).sort();
    expect(statuses).toEqual([200, 409, 409, 409]);
    await waitUntilInForce(base + 1);
  });

  it('reports an accepted patch although the store response was lost', async () => {
    const base = await currentVersion();
    await fleet.setFaults('platform', {
      loseCasAnswers: 1,
      loseCasPrefix: 'config/head',
    });
    const response = await submit('entry-3', base);
    expect(response).toMatchObject({status: 200, body: {version: base + 1}});
    await waitUntilInForce(base + 1);
  });

  it('returns the same version for a patch that is sent twice under one id', async () => {
    const base = await currentVersion();
    const first = await submit('entry-1', base, 'twice');
    const second = await submit('entry-2', base, 'twice');
    expect(second).toMatchObject({status: 200, body: first.body as object});
    expect(await waitUntilInForce(base + 1)).toBeLessThan(MAX_PROPAGATION_MS);
  });

  it('does not revert on a stale read', async () => {
    const base = await currentVersion();
    await submit('entry-1', base);
    await fleet.setFaults('platform', {staleReads: 5});
    const stale = await submit('entry-2', base);
    // A stale head causes a conflict; a stale section can't be read. Neither
    // is applied.
    expect([409, 503]).toContain(stale.status);
    await fleet.setFaults('platform', {staleReads: 0});
    await waitUntilInForce(base + 1);
  });

  it('takes patches to the version in force after the platform was restored', async () => {
    await fleet.setFaults('platform', {keepCopy: true});
    const copied = await currentVersion();
    expect((await submit('entry-1', copied)).status).toBe(200);
    await waitUntilInForce(copied + 1);
    await fleet.setFaults('platform', {restoreCopy: true});
    await waitUntil('the store has the version in force again', async () => {
      const response = await submit('entry-2', copied + 1);
      return response.status === 200;
    });
    await waitUntilInForce(copied + 2);
    // A patch to the copy's version must not be accepted beside it.
    expect((await submit('entry-1', copied)).status).toBe(409);
  });

  it('reaches a partitioned zone from peers once their links are restored', async () => {
    const base = await currentVersion();
    for (const id of ['entry-1', 'entry-2', 'entry-4']) {
      fleet.blockLink(id, 'entry-3');
      fleet.blockLink('entry-3', id);
    }
    const source = fleet.daemon('entry-3').address;
    await fleet.setFaults('platform', {blockedSources: [source]});
    expect((await submit('entry-1', base)).status).toBe(200);
    await waitUntil('the other daemons have the version', async () => {
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
    // entry-3 still can't reach the platform: the version comes from its peers.
    await waitUntilInForce(base + 1);
    await fleet.setFaults('platform', {blockedSources: []});
  });

  it('is read from peers when a daemon starts during a platform outage', async () => {
    await fleet.setFaults('platform', {outage: true});
    const base = await currentVersion();
    await fleet.daemon('entry-4').process.kill();
    await fleet.startDaemon('entry-4');
    await waitUntil(
      'the daemon has the version',
      async () => (await fleet.configVersionOf('entry-4')) === base,
    );
    await fleet.setFaults('platform', {outage: false});
  });

  it('accepts and distributes patches after a relay is killed', async () => {
    await fleet.daemon('entry-1').process.kill();
    const base = await fleet.configVersionOf('entry-2');
    await waitUntil('a patch is accepted', async () => {
      const response = await submit('entry-2', base);
      return response.status === 200 || response.status === 409;
    });
    expect(await waitUntilInForce(base + 1)).toBeLessThan(MAX_PROPAGATION_MS);
  });

  it('never reverts on any daemon', () => {
    for (const [id, versions] of observedVersions) {
      // A restarted daemon reports 0 until it has a version; 0 isn't recorded.
      const isSorted = versions.every(
        (v, i) => i === 0 || v >= versions[i - 1]!,
      );
      expect({id, isSorted}).toEqual({id, isSorted: true});
    }
  });
});
