import { createRequire } from 'node:module'
import { defineConfig } from 'vitest/config'

export default defineConfig({
  test: {
    reporters: ['default', './test/support/PlainSummary.ts'],
    include: ['src/**/*.test.ts', 'soak/**/*.test.ts', 'platform/**/*.test.ts', 'bench/**/*.test.ts', 'test/**/*.test.ts'],
    // The package's own module files import a folder, which only its CommonJS files can.
    alias: { clipanion: createRequire(import.meta.url).resolve('clipanion') },
    server: { deps: { inline: ['clipanion'] } },
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // Real-process tests share the machine: a few files at a time keeps the verdict steady.
    maxWorkers: 4
  }
})
