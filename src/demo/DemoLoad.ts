/** Load plan of the demonstrations. */
import { loadPlan } from '../load/LoadPlan.js'
import type { LoadPlan } from '../load/LoadPlan.js'
import type { MeshLayout, DemoPlan, PairLayout } from './Types.js'

/** Long enough for one or two retries on a busy machine: the check is that answers are complete, not fast. */
const DEADLINE_MS = 10_000
const CHAIN_DEPTH = 6
const DOWNLOAD_BYTES = 2_000_000
const DOWNLOAD_BYTES_PER_S = 1_000_000

/**
 * Builds a load plan of lookups, chains of 7 calls, guarded requests (a fifth of them sent twice) and downloads.
 * @param plan Services to call.
 * @param layout Addresses and journals of the mesh.
 * @param durationMs Duration of the run.
 * @param targets Nodes to which calls are sent; by default all.
 */
export function buildDemoLoad (
  { lookup, guarded, download }: DemoPlan,
  layout: MeshLayout,
  durationMs: number,
  targets: readonly PairLayout[] = layout.pairs
): LoadPlan {
  return loadPlan.parse({
    targets: targets.map(pair => pair.caller),
    journals: layout.pairs.map(pair => pair.journal),
    durationMs,
    retry: { attempts: 10 },
    streams: [
      { kind: 'lookup', ...lookup, rate: 100, deadlineMs: DEADLINE_MS },
      { kind: 'chain', service: lookup.service, rate: 5, depth: CHAIN_DEPTH, deadlineMs: DEADLINE_MS },
      { kind: 'guarded', ...guarded, rate: 20, repeatShare: 0.2, deadlineMs: DEADLINE_MS },
      {
        kind: 'download',
        ...download,
        rate: 1,
        bytes: DOWNLOAD_BYTES,
        bytesPerSecond: DOWNLOAD_BYTES_PER_S,
        deadlineMs: 2 * DEADLINE_MS
      }
    ]
  })
}
