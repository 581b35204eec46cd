import {configDefaults, defineConfig} from 'vitest/config';

/** Tests that measure a process and so run after the others, one file at a time. */
const ALONE = [
  'platform/src/starved_stop.test.ts',
  'platform/src/unruly_callers.test.ts',
];

export default defineConfig({
  test: {
    testTimeout: 90_000,
    hookTimeout: 90_000,
    maxWorkers: 4,
    minWorkers: 1,
    reporters: ['default'],
    projects: [
      {
        extends: true,
        test: {
          name: 'beside others',
          include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
          exclude: [...configDefaults.exclude, ...ALONE],
          sequence: {groupOrder: 0},
        },
      },
      {
        extends: true,
        test: {
          name: 'alone',
          include: ALONE,
          maxWorkers: 1,
          sequence: {groupOrder: 1},
        },
      },
    ],
  },
});
