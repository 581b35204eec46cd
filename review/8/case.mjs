// The store loses the answer to a gateway's write of its entry and does it later.
import {
  clientHeaders,
  config,
  KEY,
  runCase,
  send,
  sleep,
  TENANT,
  TROUBLE,
} from '../lib-2/harness.mjs';

/** The allotment of the tenant that `fleetbench wire` prints. */
const RATE = 108_079;
const BURST = 108_079;
/** The rule's bound with `quota_overage` 0.1 and `quota_slack` 190,000. */
const WINDOW_S = 8;
const BOUND = (RATE * WINDOW_S + BURST) * 1.1 + 190_000;
const TOKENS = {header: '3720,120', count: 3_840};
/** Requests a second that the tenant sends to each of the two gateways. */
const PER_S = 50;
const TRAFFIC_S = 20;
/** When the store does the write whose answer it lost. */
const LATE_MS = 2_500;
/** Time between the disruption and the traffic. */
const CALM_S = 12;
const MEMBERS = 'fescuespool/members/';

await runCase(
  import.meta.url,
  async ({record, store, addEngine, addGateway}) => {
    const tenant = {
      name: TENANT,
      api_keys: [KEY],
      priority: 1,
      unit: 'token_stream',
      plain_tokens: 200,
      rate_per_s: RATE,
      burst: BURST,
    };
    store.put('op/config', config(1, {tenants: [tenant]}));
    const sentMs = new Map();
    const runs = [];
    for (const id of ['i-1', 'i-2', 'i-3']) {
      await addEngine(id, (run, res) => {
        runs.push({sentMs: sentMs.get(run.id), ranMs: performance.now()});
        setTimeout(() => res.end('ok'), 20);
      });
    }
    const first = await addGateway({}, 'puchov');
    await first.whenReady();
    let lost = 0;
    store.lateMs = ({writes = []}) => {
      const key = `${MEMBERS}front-trencin-1`;
      const isEntry = writes.some(write => write.key === key);
      if (!TROUBLE || !isEntry || lost > 0) return null;
      lost++;
      record.add(
        `store    write of ${key}: not answered, done ${LATE_MS} ms later`,
      );
      return LATE_MS;
    };
    const second = await addGateway({}, 'trencin');
    await second.whenReady();
    for (let s = 0; s < CALM_S; s++) {
      await sleep(1_000);
      const entries = [...store.items.keys()].filter(key =>
        key.startsWith(MEMBERS),
      );
      record.add(`store    has ${entries.join(' ')}`);
    }
    record.add(
      `sent     by the tenant to each gateway: ${PER_S} requests a second of ` +
        `${TOKENS.count} tokens for ${TRAFFIC_S} s`,
    );
    const answers = {};
    const count = what => (answers[what] = (answers[what] ?? 0) + 1);
    const calls = [];
    const startMs = performance.now();
    for (let i = 0; i < PER_S * TRAFFIC_S; i++) {
      const dueMs = startMs + (i * 1_000) / PER_S;
      await sleep(Math.max(0, dueMs - performance.now()));
      for (const {front, name} of [first, second]) {
        const headers = clientHeaders({'X-Token-Count': TOKENS.header});
        sentMs.set(headers['X-Request-Id'], performance.now());
        calls.push(
          send(front, {path: '/safe/x', headers}).then(
            ({status}) => count(`${name} ${status}`),
            e => count(`${name} ${e.message}`),
          ),
        );
      }
    }
    await Promise.all(calls);
    record.add(`answered ${JSON.stringify(answers)}`);
    const most = mostTokens(runs);
    record.add(
      `most tokens sent and run in ${WINDOW_S} s: ${most}, ` +
        `bound ${Math.round(BOUND)}`,
    );
    return most > BOUND;
  },
);

/** Most tokens of requests that were both sent and run in some window. */
function mostTokens(runs) {
  const inWindow = runs.map(({sentMs: fromMs}) => {
    const untilMs = fromMs + WINDOW_S * 1_000;
    return runs.filter(run => run.sentMs >= fromMs && run.ranMs <= untilMs);
  });
  return Math.max(...inWindow.map(({length}) => length)) * TOKENS.count;
}
