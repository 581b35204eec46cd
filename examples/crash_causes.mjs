// Three upstreams die with prompts in flight that share the parts `intro` and
// `table`. The later part is blamed, so that other prompts with `intro` are served.
import {CrashCauseTracker, DEATH_SETTLE_MS} from '@fescuespool/coordination';

let nowMs = 0;
const clock = {monotonicMs: () => nowMs, wallMs: () => nowMs};
const tracker = new CrashCauseTracker(clock, ({part}, deaths) =>
  console.log(`blamed ${part} for ${deaths} deaths`),
);
for (const own of ['a', 'b', 'c']) {
  const parts = ['intro', 'table', own];
  tracker.recordDeath(`engine-${own}`, {content: own, parts});
  nowMs += 1_000;
}
nowMs += DEATH_SETTLE_MS;
console.log('table', tracker.findCause(['intro', 'table', 'd']));
console.log('intro', tracker.findCause(['intro', 'e']));
