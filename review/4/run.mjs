import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {config, HAS_TROUBLE, route, runCase, sleep} from '../lib/bed.mjs';

const GRACE_MS = 8_000;
const SLOTS = 5;
const HEADERS = {
  'x-credential': 'key-1',
  'x-model': 'm',
  'x-token-count': '1110,171',
  'x-deadline-ms': '15000',
};

await runCase(dirname(fileURLToPath(import.meta.url)), async bed => {
  const tariff = route('tariff', {
    kind: 'streaming',
    resumable: true,
    timeout_ms: 15_000,
    target_latency_ms: 2_000,
    gap_aim_ms: 400,
    priority: 2,
  });
  await bed.start(config(1, {routes: [tariff]}));
  // Its streams take 14 s, which is within the time limit of 15 s.
  const engine = await bed.addEngine('i-1', {events: 57, gapMs: 250});
  const first = await bed.addGateway('front-1', 'trencin');
  const second = await bed.addGateway('front-2', 'puchov');
  for (const gateway of [first, second]) {
    if (!(await bed.whenReady(gateway))) throw new Error('not ready');
  }
  await bed.whenJoined();

  // The other machine's requests take all places of the engine.
  const running = [];
  for (let i = 0; i < SLOTS; i++) {
    running.push(bed.request(second, {path: `/tariff/${i}`, headers: HEADERS}));
    await sleep(50);
  }
  await sleep(500);
  if (engine.events.filter(({what}) => what === 'began').length !== SLOTS) {
    throw new Error('the places of the engine are not taken');
  }

  const stoppedAtMs = performance.now();
  if (HAS_TROUBLE) {
    bed.signal(first, 'SIGTERM');
    setTimeout(() => {
      const {exitCode, signalCode} = first.child;
      if (exitCode === null && signalCode === null)
        bed.signal(first, 'SIGKILL');
    }, GRACE_MS);
  }
  // The platform still sends channels: it has not seen two misses yet.
  await sleep(1_000);
  const waiting = await Promise.all(
    [1, 2, 3].map(async i => {
      const sentAtMs = performance.now();
      const answer = await bed.request(first, {
        path: `/tariff/waiting-${i}`,
        headers: HEADERS,
      });
      const tookMs = Math.round(performance.now() - sentAtMs);
      return {...answer, tookMs, sinceStopMs: performance.now() - stoppedAtMs};
    }),
  );
  const begun = new Set(engine.events.map(({fields}) => fields?.id));
  const lost = waiting.filter(
    ({id, isComplete, tookMs}) => !isComplete && tookMs > 200 && !begun.has(id),
  );
  for (const {id, tookMs, error} of lost) {
    bed.note('read, not passed on, and closed without an answer', {
      id,
      tookMs,
      error,
    });
  }
  if (lost.length > 0) {
    const why = `${lost.length} of 3 requests were closed without an answer`;
    return {code: 1, why};
  }
  return {code: 0, why: `answers: ${waiting.map(({status}) => status)}`};
});
