// Assigns each key to a member by rendezvous hashing and prints its owner before
// and after a member leaves. Only the keys of that member get a new owner.
import {ownerOf} from '@fescuespool/coordination';

const members = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];
const keys = ['assist', 'ledger', 'dispatch', 'quotes'];
const remaining = members.filter(id => id !== 'entry-2');
for (const key of keys) {
  console.log(`${key}: ${ownerOf(members, key)} -> ${ownerOf(remaining, key)}`);
}
