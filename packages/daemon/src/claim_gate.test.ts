import type {JsonResponse} from '@fescuespool/bench';
import {
  accountKey,
  callJson,
  findRepeatedExecutions,
  Fleet,
  smallFleetPlan,
  waitUntil,
} from '@fescuespool/bench';
import {sleep} from '@fescuespool/common';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

interface ProblemBody {
  readonly reason?: string;
  readonly outcome?: string;
  readonly requestId?: string;
}

describe('non-idempotent calls with an idempotency key', () => {
  let fleet: Fleet;
  let serial = 0;

  const book = (
    entry: string,
    key: string,
    dock: number | string = key,
    deadlineMs = 8_000,
  ): Promise<JsonResponse> =>
    callJson(
      `${fleet.daemon(entry).callerUrl}/services/ledger/bookings`,
      'POST',
      {dock},
      {
        authorization: `Bearer ${accountKey('yard')}`,
        'idempotency-key': key,
        'x-request-deadline-ms': String(deadlineMs),
      },
    );
  const newKey = (): string => `key-${++serial}`;
  const problemOf = (response: JsonResponse): ProblemBody =>
    response.body as ProblemBody;
  const executionsOf = async (key: string): Promise<number> => {
    const probe = (await book('entry-1', `probe-${key}`, key)).body as {
      bodyHash: string;
    };
    const records = await fleet.allRecords();
    // The probe itself ran with the same body and is not counted.
    return records.filter(r => r.bodyHash === probe.bodyHash).length - 1;
  };
  const appIds = ['app-1', 'app-2'];
  const setAllFaults = async (faults: object): Promise<void> => {
    for (const id of appIds) await fleet.setFaults(id, faults);
  };

  beforeAll(async () => {
    fleet = await Fleet.start(smallFleetPlan({models: 0}));
  });
  afterAll(() => fleet.close());

  describe('without failures', () => {
    it('responds to every duplicate with the response of the single run', async () => {
      const key = newKey();
      await setAllFaults({serviceMs: 300});
      const responses = await Promise.all([
        book('entry-1', key),
        book('entry-2', key),
        book('entry-3', key),
        book('entry-1', key),
      ]);
      await setAllFaults({serviceMs: 30});
      const late = await book('entry-2', key);
      const bodies = [...responses, late].map(response => response.body);
      expect(new Set(bodies.map(body => JSON.stringify(body))).size).toBe(1);
      expect(await executionsOf(key)).toBe(1);
    });

    it('refuses a key that was already used with a different body', async () => {
      const key = newKey();
      expect((await book('entry-1', key, 'a')).status).toBe(200);
      const other = await book('entry-2', key, 'b');
      expect(other.status).toBe(422);
      expect(problemOf(other)).toMatchObject({
        reason: 'key_reused',
        outcome: 'not_run',
      });
    });
  });

  describe('when the platform fails', () => {
    it('reads back a claim whose write response was lost', async () => {
      const key = newKey();
      await fleet.setFaults('platform', {
        loseCasAnswers: 1,
        loseCasPrefix: 'claims/',
      });
      expect((await book('entry-1', key)).status).toBe(200);
      expect(await executionsOf(key)).toBe(1);
    });

    it('refuses with outcome not_run during an outage and runs once after it', async () => {
      const key = newKey();
      await fleet.setFaults('platform', {outage: true});
      const refused = await book('entry-1', key);
      await fleet.setFaults('platform', {outage: false});
      expect(problemOf(refused)).toMatchObject({
        reason: 'claim_unavailable',
        outcome: 'not_run',
      });
      await waitUntil('the platform accepts claims again', async () => {
        const response = await book('entry-2', key);
        return response.status === 200;
      });
      expect(await executionsOf(key)).toBe(1);
    });

    it('releases a claim that is written after its write has timed out', async () => {
      const key = newKey();
      // After this call the entry holds a lease, so that the write of the claim
      // is the one that times out.
      expect((await book('entry-1', newKey())).status).toBe(200);
      // Longer than the client's timeout, so that the claim is written
      // unnoticed.
      await fleet.setFaults('platform', {delayMs: 2_500});
      const refused = await book('entry-1', key);
      await fleet.setFaults('platform', {delayMs: 0});
      expect(problemOf(refused).outcome).toBe('not_run');
      await waitUntil('the key is released', async () => {
        const response = await book('entry-3', key);
        return response.status === 200;
      });
      expect(await executionsOf(key)).toBe(1);
    });
  });

  describe('when the platform is restored from an older copy', () => {
    it('does not run again under a claim that the copy lacks', async () => {
      const key = newKey();
      await fleet.setFaults('platform', {keepCopy: true});
      expect((await book('entry-1', key)).status).toBe(200);
      await fleet.setFaults('platform', {restoreCopy: true});
      const early = await book('entry-2', key);
      expect(problemOf(early)).toMatchObject({
        reason: 'claim_unavailable',
        outcome: 'not_run',
      });
      // Each entry counts the time from when it learns of the restore.
      for (const entry of ['entry-1', 'entry-2', 'entry-3']) {
        await waitUntil(`${entry} creates claims again`, async () => {
          const response = await book(entry, newKey());
          return response.status === 200;
        });
      }
      expect((await book('entry-2', key)).status).toBe(200);
      expect(await executionsOf(key)).toBe(1);
    });
  });

  describe('when an upstream fails', () => {
    it('does not run again after the connection broke during the run', async () => {
      const key = newKey();
      await setAllFaults({cutNext: 1});
      const first = await book('entry-1', key);
      await setAllFaults({cutNext: 0});
      expect(problemOf(first).outcome).toBe('may_have_run');
      const again = await book('entry-2', key);
      expect(again.status).toBe(409);
      expect(problemOf(again).outcome).toBe('may_have_run');
      expect(await executionsOf(key)).toBe(1);
    });

    it('retries at another upstream after an explicit "not accepted"', async () => {
      const key = newKey();
      await fleet.setFaults('app-1', {refuseNext: 1});
      await fleet.setFaults('app-2', {refuseNext: 0});
      expect((await book('entry-1', key)).status).toBe(200);
      await fleet.setFaults('app-1', {refuseNext: 0});
      expect(await executionsOf(key)).toBe(1);
    });

    it('releases the key when no upstream accepts the call', async () => {
      const key = newKey();
      await setAllFaults({refuseNext: 1});
      const refused = await book('entry-1', key, key, 2_000);
      expect(problemOf(refused).outcome).toBe('not_run');
      await setAllFaults({refuseNext: 0});
      expect((await book('entry-2', key)).status).toBe(200);
      expect(await executionsOf(key)).toBe(1);
    });
  });

  describe('when an entry fails', () => {
    it('runs at most once after the entry was paused while claiming', async () => {
      const key = newKey();
      await fleet.setFaults('platform', {delayMs: 400});
      const first = book('entry-2', key, key, 20_000).catch(() => null);
      await sleep(300);
      const frozen = fleet.daemon('entry-2').process;
      frozen.signal('SIGSTOP');
      await fleet.setFaults('platform', {delayMs: 0});
      const second = await book('entry-3', key, key, 20_000);
      await sleep(3_000);
      frozen.signal('SIGCONT');
      await first;
      const executions = await executionsOf(key);
      expect(executions).toBeLessThanOrEqual(1);
      if (problemOf(second).outcome === 'not_run') {
        const records = await fleet.allRecords();
        const ids = records.map(record => record.requestId);
        expect(ids).not.toContain(problemOf(second).requestId);
      }
      await fleet.waitUntilReady();
    });

    it('does not run again after the entry was killed during the run', async () => {
      const key = newKey();
      await setAllFaults({serviceMs: 1_500});
      const first = book('entry-2', key).catch(() => null);
      await waitUntil('the call is running', async () => {
        const records = await fleet.allRecords();
        return records.some(record => record.end === null);
      });
      await fleet.daemon('entry-2').process.kill();
      await setAllFaults({serviceMs: 30});
      expect(await first).toBeNull();
      const again = await book('entry-3', key);
      expect(again.status).toBe(409);
      expect(problemOf(again).outcome).toBe('may_have_run');
      expect(await executionsOf(key)).toBe(1);
      const all = await fleet.allRecords();
      const repeated = findRepeatedExecutions(all, 'POST /bookings');
      // Each probe sends the body that it counts once more.
      expect(repeated.every(text => text.endsWith('ran 2 times'))).toBe(true);
    });
  });
});
