import { defineConfig } from 'vitest/config'

export default defineConfig({
  test: {
    reporters: ['default', './test/support/PlainSummary.ts'],
    include: ['src/**/*.test.ts', 'bench/**/*.test.ts', 'test/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // Real-process tests share the machine: a few files at a time keeps the verdict steady.
    maxWorkers: 4
  }
})
