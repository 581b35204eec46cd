import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {config, HAS_TROUBLE, runCase, sleep} from '../lib/bed.mjs';

const ANSWER_MS = 4;
const SLOWER = 60;
const SLOW_MS = 4_500;
const WRITE_AFTER_MS = 120;
const HEADERS = {'x-credential': 'key-1', 'x-deadline-ms': '2500'};

await runCase(dirname(fileURLToPath(import.meta.url)), async bed => {
  await bed.start(null);
  // The operator writes the first configuration shortly after the start.
  const firstCall = new Promise(resolve => {
    bed.store.onCall = url => {
      bed.note('store got', {path: `${url.pathname}${url.search}`});
      resolve();
    };
  });
  if (HAS_TROUBLE) {
    bed.store.answerMs = ANSWER_MS * SLOWER;
    bed.note('store is slow', {answerMs: bed.store.answerMs});
    setTimeout(() => {
      bed.store.answerMs = ANSWER_MS;
      bed.note('store is as usual', {answerMs: ANSWER_MS});
    }, SLOW_MS);
  }
  await bed.addEngine('i-1', {workMs: 40});
  const gateways = [
    await bed.addGateway('front-1', 'trencin'),
    await bed.addGateway('front-2', 'puchov'),
  ];
  await firstCall;
  await sleep(WRITE_AFTER_MS);
  bed.configure(config(1));

  // The traffic starts 12 s after the machines do.
  await sleep(12_000);
  bed.store.onCall = () => undefined;
  const requests = [];
  for (let i = 0; i < 40; i++) {
    for (const gateway of gateways) {
      const path = `/safe/${i}`;
      const call = {method: 'GET', path, headers: HEADERS};
      requests.push(bed.request(gateway, call));
    }
    await sleep(500);
  }
  const statuses = (await Promise.all(requests)).map(({status}) => status);
  const ready = [];
  for (const gateway of gateways) ready.push(await bed.readiness(gateway));
  const served = statuses.filter(status => status === 200).length;
  const why = `${served} of ${statuses.length} requests served; ready: ${ready}`;
  return {code: served === 0 ? 1 : 0, why};
});
