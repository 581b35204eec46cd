// Two configuration patches are based on the same version: one is accepted, the
// other is rejected with a conflict.
import {ConfigStore, createMemoryStore, PATCH_FORMAT} from '@fescuespool/state';

const store = createMemoryStore();
const patch = {
  tiers: [{name: 'normal'}],
  services: {assist: {kind: 'model'}},
};
const submit = patchId =>
  new ConfigStore(store).submit({
    patchId,
    baseVersion: 0,
    format: PATCH_FORMAT.MERGE,
    patch,
    author: 'example',
  });
const results = await Promise.all([submit('one'), submit('two')]);
for (const result of results) {
  console.log(
    result.match(
      version => `accepted as version ${version}`,
      error => `${error.kind}: ${error.message}`,
    ),
  );
}
