import net from 'node:net';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {config, HAS_TROUBLE, runCase, sleep} from '../lib/bed.mjs';

const EVENTS = 20;
const HEADERS = {
  'x-credential': 'key-1',
  'x-model': 'm',
  'x-token-count': '1460,60',
  'x-prompt-prefix': '5c1e07a2:800,e4402b7d:250',
};

/** Opens channels until one is not taken up: the queue of new ones is full. */
async function fillQueue({host, port}) {
  const sockets = [];
  for (let i = 0; i < 32; i++) {
    const socket = net.connect({host, port});
    socket.on('error', () => undefined);
    sockets.push(socket);
    const isOpen = await Promise.race([
      new Promise(resolve => socket.once('connect', () => resolve(true))),
      sleep(50).then(() => false),
    ]);
    if (!isOpen) return sockets;
  }
  throw new Error('the queue of new channels did not fill');
}

const idsIn = text =>
  [...text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));

await runCase(dirname(fileURLToPath(import.meta.url)), async bed => {
  await bed.start(config(1));
  const engine = await bed.addEngine('i-1', {
    backlog: 2,
    events: EVENTS,
    isUnframed: true,
  });
  const first = await bed.addGateway('front-1', 'trencin');
  const second = await bed.addGateway('front-2', 'puchov');
  for (const gateway of [first, second]) {
    if (!(await bed.whenReady(gateway))) throw new Error('not ready');
  }
  await bed.whenJoined();
  const warmUp = await bed.request(first, {
    path: '/stream/0',
    headers: HEADERS,
  });
  if (!warmUp.isComplete || idsIn(warmUp.text).length !== EVENTS) {
    throw new Error('the first stream was not served');
  }

  // A sound engine falls silent for less than a second. Its queue of new channels
  // is full meanwhile, so that it drops the opening packet of the first gateway,
  // which then connects through the second one.
  const sendBesideSilence = async attempt => {
    bed.note('engine falls silent', {attempt});
    engine.child.kill('SIGSTOP');
    const fillers = await fillQueue(engine);
    const sent = [1, 2, 3].map(i => {
      const path = `/stream/${attempt}-${i}`;
      return bed.request(first, {path, headers: HEADERS});
    });
    await sleep(90);
    engine.child.kill('SIGCONT');
    bed.note('engine goes on');
    for (const socket of fillers) socket.destroy();
    await sleep(1_500);
    return sent;
  };
  const isTunnelled = () =>
    first.log.some(line => line.includes('upstream_path_lost'));
  let streams = [];
  for (let attempt = 1; attempt <= 4 && !isTunnelled(); attempt++) {
    await Promise.all(streams);
    streams = await sendBesideSilence(attempt);
  }
  if (!isTunnelled()) {
    throw new Error('no channel went through the other gateway');
  }
  if (HAS_TROUBLE) bed.signal(second, 'SIGKILL');

  const answers = await Promise.all(streams);
  const early = answers.filter(
    ({status, isComplete, text}) =>
      status === 200 && isComplete && idsIn(text).at(-1) !== EVENTS,
  );
  for (const {id, text} of early) {
    bed.note('ended as complete', {id, lastEvent: idsIn(text).at(-1), EVENTS});
  }
  if (early.length > 0) {
    const why = `${early.length} of 3 streams ended as complete before their last event`;
    return {code: 1, why};
  }
  const whole = answers.filter(
    ({isComplete, text}) => isComplete && idsIn(text).length === EVENTS,
  );
  if (!HAS_TROUBLE && whole.length < 3) {
    return {
      code: 2,
      why: `only ${whole.length} of 3 streams were served whole`,
    };
  }
  return {
    code: 0,
    why: `no stream ended early as complete; ${whole.length} whole`,
  };
});
