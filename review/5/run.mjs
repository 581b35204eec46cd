import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {config, HAS_TROUBLE, route, runCase, sleep} from '../lib/bed.mjs';

const TIMEOUT_MS = 2_000;
const FAULTY = 2;
const FAULT = {share: 0.45, forMs: 6_500, piece: 'x'};
const READ = {'x-credential': 'key-1', 'x-deadline-ms': '6000'};
const DRAFT = {
  'x-credential': 'key-1',
  'x-model': 'm',
  'x-token-count': '3720,120',
  'x-deadline-ms': '12000',
};

await runCase(dirname(fileURLToPath(import.meta.url)), async bed => {
  const read = route('safe', {timeout_ms: TIMEOUT_MS, priority: 2});
  const draft = route('draft', {
    kind: 'streaming',
    resumable: true,
    gap_aim_ms: 400,
    service: 'llm',
    priority: 0,
  });
  const services = [{name: 'app'}, {name: 'llm'}];
  await bed.start(config(1, {routes: [read, draft], services}));
  await bed.addEngine('i-1', {workMs: 40}, {slots: 6});
  const models = [];
  for (let i = 2; i <= 5; i++) {
    models.push(await bed.addEngine(`i-${i}`, {gapMs: 20}, {service: 'llm'}));
  }
  const gateway = await bed.addGateway('front-1', 'trencin');
  if (!(await bed.whenReady(gateway))) throw new Error('not ready');
  await bed.whenJoined();

  if (HAS_TROUBLE) {
    bed.note('fault begins', {FAULTY, ...FAULT});
    for (const {child} of models.slice(0, FAULTY)) {
      child.stdin.write(`${JSON.stringify(FAULT)}\n`);
    }
  }
  const requests = [];
  for (let i = 0; i < 120; i++) {
    const sentAtMs = performance.now();
    const request = {tookMs: Infinity};
    const call = {method: 'GET', path: `/safe/${i}`, headers: READ};
    void bed
      .request(gateway, call)
      .then(() => (request.tookMs = performance.now() - sentAtMs));
    requests.push(request);
    if (i < 65) {
      void bed.request(gateway, {path: `/draft/${i}`, headers: DRAFT});
    }
    await sleep(100);
  }
  await sleep(TIMEOUT_MS + 500);

  const slow = requests.filter(({tookMs}) => tookMs > TIMEOUT_MS);
  const late = slow.filter(({tookMs}) => tookMs > TIMEOUT_MS + 500);
  const isBroken = late.length >= 8 && late.length > slow.length / 4;
  const why =
    `${late.length} of ${slow.length} requests that lasted longer than timeout_ms ` +
    `had no answer 0.5 s later, of ${requests.length} sent`;
  return {code: isBroken ? 1 : 0, why};
});
