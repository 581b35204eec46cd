// Which member holds which key, and what changes when one leaves.
import {ownerOf} from '@fescuespool/coordination';

const members = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];
const keys = ['assist', 'ledger', 'dispatch', 'quotes'];
const rest = members.filter(id => id !== 'entry-2');
for (const key of keys) {
  console.log(`${key}: ${ownerOf(members, key)} -> ${ownerOf(rest, key)}`);
}
