import {defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    testTimeout: 90_000,
    hookTimeout: 90_000,
    maxWorkers: 4,
    minWorkers: 1,
    reporters: ['default'],
  },
});
