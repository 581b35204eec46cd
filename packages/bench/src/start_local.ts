#!/usr/bin/env node
import {once} from 'node:events';
import {accountKey, Fleet} from './fleet.js';
import {LOCAL_ACCOUNTS, localFleetPlan} from './local_plan.js';

const fleet = await Fleet.start(localFleetPlan());
const [first] = fleet.daemons.values();
const lines = [
  'A small fleet runs until Ctrl-C.',
  '',
  ...[...fleet.daemons.values()].map(
    daemon =>
      `${daemon.plan.id} (${daemon.plan.zone}): callers ${daemon.callerUrl}, ` +
      `operators ${daemon.operatorUrl}`,
  ),
  '',
  ...Object.entries(LOCAL_ACCOUNTS).map(
    ([id, {tier}]) => `account ${id} (tier ${tier}): key ${accountKey(id)}`,
  ),
  '',
  `curl -N ${first?.callerUrl}/v1/chat/completions \\`,
  `  -H 'authorization: Bearer ${accountKey('customs')}' \\`,
  `  -H 'content-type: application/json' \\`,
  `  -d '{"model":"assist","stream":true,"max_tokens":20,` +
    `"messages":[{"role":"user","content":"hello"}]}'`,
  '',
  `npx fescuespool upstreams --url ${first?.operatorUrl}`,
];
process.stdout.write(`${lines.join('\n')}\n`);
await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
await fleet.close();
process.exit(0);
