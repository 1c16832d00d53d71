import { createRequire } from 'node:module'
import { defineConfig } from 'vitest/config'

const CROWDS = 'test/crowds/**/*.test.ts'

export default defineConfig({
  test: {
    reporters: ['default', './test/support/PlainSummary.ts'],
    // The package's own module files import a folder, which only its CommonJS files can.
    alias: { clipanion: createRequire(import.meta.url).resolve('clipanion') },
    server: { deps: { inline: ['clipanion'] } },
    testTimeout: 60_000,
    hookTimeout: 60_000,
    projects: [
      {
        extends: true,
        test: {
          name: 'main',
          include: [
            'src/**/*.test.ts', 'soak/**/*.test.ts', 'platform/**/*.test.ts', 'bench/**/*.test.ts', 'test/**/*.test.ts'
          ],
          exclude: ['**/node_modules/**', CROWDS],
          sequence: { groupOrder: 0 },
          // Real-process tests share the machine: a few files at a time keeps the verdict steady.
          maxWorkers: 4
        }
      },
      {
        extends: true,
        // Crowds load the machine: they run after all others, one file at a time.
        test: { name: 'crowds', include: [CROWDS], sequence: { groupOrder: 1 }, maxWorkers: 1, fileParallelism: false }
      }
    ]
  }
})
