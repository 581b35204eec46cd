// Two holders race for the right to run one request; exactly one may.
import {CLAIM_OUTCOME, ClaimStore, createMemoryStore} from '@fescuespool/state';

const store = createMemoryStore();
const subject = {
  accountId: 'yard',
  idempotencyKey: 'booking-17',
  requestId: 'r1',
  fingerprint: 'POST /bookings',
};
const holders = ['entry-1', 'entry-2'].map(
  memberId => new ClaimStore(store, {memberId, incarnation: 1}),
);
const attempts = await Promise.all(
  holders.map(claims => claims.acquire(subject)),
);
const winners = attempts.filter(
  attempt => attempt.outcome === CLAIM_OUTCOME.ACQUIRED,
);
console.log(`${winners.length} of ${attempts.length} holders may run`);
