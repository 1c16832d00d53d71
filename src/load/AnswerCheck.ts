/** Checks that an answer is complete and belongs to the request that it answers. */
import { DownloadBody } from '../runtime/DownloadBody.js'
import { DownloadCheck } from './DownloadCheck.js'
import type { PlannedCall } from './Types.js'

/** Reads a body to its end; resolves to whether it is complete and belongs to the call. */
export type BodyCheck = (call: PlannedCall, body: AsyncIterable<Uint8Array>) => Promise<boolean>

/** JSON body of a test upstream: it echoes what identifies the request. */
interface EchoedCall {
  readonly service?: unknown
  readonly call?: unknown
  readonly id?: unknown
  readonly requestId?: unknown
  readonly key?: unknown
  readonly depth?: unknown
  readonly next?: { readonly status?: unknown, readonly body?: EchoedCall }
}

/** Returns the seed of a call's download body, which differs between the calls of a run. */
export function downloadSeed (call: PlannedCall): number {
  return call.number >>> 0
}

/** The body check of each kind of stream. */
export const BODY_CHECKS: Readonly<Record<PlannedCall['stream']['kind'], BodyCheck>> = {
  lookup: async (call, body) => matchesCall(await readEcho(body), call, 'lookup'),
  guarded: async (call, body) => {
    const echo = await readEcho(body)
    return matchesCall(echo, call, 'checkout') && echo?.key === call.id
  },
  download: checkDownload,
  chain: async (call, body) => {
    const echo = await readEcho(body)
    return matchesCall(echo, call, 'chain') && countAnsweredLinks(echo, call) === chainDepth(call)
  }
}

async function checkDownload (call: PlannedCall, body: AsyncIterable<Uint8Array>): Promise<boolean> {
  const length = call.stream.kind === 'download' ? call.stream.bytes : 0
  const check = new DownloadCheck(new DownloadBody(length, downloadSeed(call)))
  for await (const chunk of body) check.update(chunk)
  return check.isComplete
}

async function readEcho (body: AsyncIterable<Uint8Array>): Promise<EchoedCall | undefined> {
  const chunks: Uint8Array[] = []
  for await (const chunk of body) chunks.push(chunk)
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as EchoedCall
  } catch {
    return undefined
  }
}

function matchesCall (echo: EchoedCall | undefined, call: PlannedCall, callName: string): boolean {
  const id = callName === 'chain' ? String(chainDepth(call)) : call.id
  return echo?.service === call.stream.service && echo.call === callName && echo.id === id && echo.requestId === call.id
}

function chainDepth (call: PlannedCall): number {
  return call.stream.kind === 'chain' ? call.stream.depth : 0
}

/** Counts the links below the first; NaN when one answered another status than 200 or for another request. */
function countAnsweredLinks (echo: EchoedCall | undefined, call: PlannedCall): number {
  const next = echo?.next
  if (next === undefined) return 0
  if (next.status !== 200 || next.body?.requestId !== call.id) return Number.NaN
  return 1 + countAnsweredLinks(next.body, call)
}
