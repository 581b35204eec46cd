import {build} from 'esbuild';
import {readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));

/** Maps each workspace to its sources, so that bundling needs no prior build. */
const alias = Object.fromEntries(
  readdirSync(`${root}/packages`).map(name => [
    `@fescuespool/${name}`,
    `${root}/packages/${name}/src/index.ts`,
  ]),
);

await build({
  entryPoints: [`${root}/platform/src/main.ts`],
  outfile: `${root}/target/fescuespoold.cjs`,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  sourcemap: true,
  minifySyntax: true,
  alias,
  // Optional dependencies of bunyan that are not used.
  external: ['dtrace-provider', 'mv', 'moment', 'source-map-support'],
  logLevel: 'warning',
});
