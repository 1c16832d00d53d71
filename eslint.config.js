import neostandard from 'neostandard'

// The parts are pure: time, random numbers, files and sockets are injected.
const IMPURE_GLOBALS = ['setTimeout', 'setInterval', 'setImmediate', 'process', 'performance', 'fetch']
const IMPURE_MODULES = ['node:*', 'net', 'fs', 'http', 'dgram', 'undici', 'got', 'express', 'pino']

export default [
  { ignores: ['dist/**', 'target/**', 'node_modules/**', 'bench/results/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    rules: {
      '@stylistic/max-len': ['error', { code: 120, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreUrls: true }],
      'max-lines': ['error', { max: 450, skipBlankLines: true, skipComments: true }],
      'no-restricted-syntax': ['error', {
        selector: 'TSInterfaceDeclaration[id.name=/^I[A-Z][a-z]/]',
        message: 'Types are nouns without a prefix.'
      }]
    }
  },
  {
    files: ['src/parts/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-globals': ['error', ...IMPURE_GLOBALS],
      'no-restricted-imports': ['error', { patterns: IMPURE_MODULES }],
      'no-restricted-properties': ['error',
        { object: 'Date', property: 'now', message: 'Time is passed to step().' },
        { object: 'Math', property: 'random', message: 'Random numbers are injected.' }
      ]
    }
  }
]
