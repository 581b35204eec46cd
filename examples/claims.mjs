// Two members try to claim the same idempotency key at once; only one acquires
// the claim and may run the request.
import {CLAIM_OUTCOME, ClaimStore, createMemoryStore} from '@fescuespool/state';

const store = createMemoryStore();
const subject = {
  accountId: 'yard',
  idempotencyKey: 'booking-17',
  requestId: 'r1',
  fingerprint: 'POST /bookings',
};
const claimStores = ['entry-1', 'entry-2'].map(
  memberId => new ClaimStore(store, {memberId, incarnation: 1}),
);
const attempts = await Promise.all(
  claimStores.map(claimStore => claimStore.acquire(subject)),
);
const acquired = attempts.filter(
  attempt => attempt.outcome === CLAIM_OUTCOME.ACQUIRED,
);
console.log(`${acquired.length} of ${attempts.length} members may run`);
