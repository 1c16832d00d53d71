/** Bundles the programs into one file each, so that a process starts without looking for modules. */
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
    // The optional native decoder costs more at start than it saves on short frames.
    'cbor-extract': './deploy/no-native-decoder.cjs',
    'ts-results/result.js': './deploy/ts-results.js'
  },
  logLevel: 'warning'
})
