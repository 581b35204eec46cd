import {accountKey, callJson, Fleet, smallFleetPlan} from '@fescuespool/bench';
import type {JsonResponse} from '@fescuespool/bench';
import {waitUntil} from '@fescuespool/bench';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

describe('copies of claims', () => {
  let fleet: Fleet;
  let serial = 0;

  const newKey = (): string => `key-${++serial}`;
  const book = (
    entry: string,
    key: string,
    dock = key,
  ): Promise<JsonResponse> =>
    callJson(
      `${fleet.daemon(entry).callerUrl}/services/ledger/bookings`,
      'POST',
      {dock},
      {
        authorization: `Bearer ${accountKey('yard')}`,
        'idempotency-key': key,
        'x-request-deadline-ms': '8000',
      },
    );

  beforeAll(async () => {
    fleet = await Fleet.start(smallFleetPlan({models: 0}));
  });
  afterAll(() => fleet.close());

  it('keep a request from running again after its holder ended and the platform was restored', async () => {
    const key = newKey();
    await fleet.setFaults('platform', {keepCopy: true});
    const first = await book('entry-1', key);
    expect(first.status).toBe(200);
    const {bodyHash} = first.body as {bodyHash: string};
    await fleet.daemon('entry-1').process.kill();
    await fleet.setFaults('platform', {restoreCopy: true});
    for (const entry of ['entry-2', 'entry-3']) {
      await waitUntil(`${entry} creates claims again`, async () => {
        const response = await book(entry, newKey());
        return response.status === 200;
      });
    }
    const again = await book('entry-2', key);
    expect(again.status).toBe(409);
    expect(again.body).toMatchObject({
      reason: 'claim_held',
      outcome: 'may_have_run',
    });
    const records = await fleet.allRecords();
    expect(records.filter(r => r.bodyHash === bodyHash).length).toBe(1);
  });
});
