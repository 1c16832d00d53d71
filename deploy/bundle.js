/** Bundles each program into one file, so that a process starts without resolving modules. */
import { build } from 'esbuild'

await build({
  entryPoints: { node: 'platform/node.ts', control: 'platform/control.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  alias: {
    // Loading the optional native decoder takes more time at start than it saves on short frames.
    'cbor-extract': './deploy/no-native-decoder.cjs',
    'ts-results/result.js': './deploy/ts-results.js'
  },
  logLevel: 'warning'
})
