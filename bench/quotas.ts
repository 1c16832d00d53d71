/**
 * Measures what quotas cost: time for each decision of the ledger and of a node, bytes of the frames, and memory of the
 * ledger. Prints JSON. Run with `node --expose-gc`; options: `--nodes N`, `--workspaces N`, `--perS N` requests.
 */
import { parseArgs } from 'node:util'
import { QuotaClient } from '../src/parts/quota/QuotaClient.js'
import { QuotaLedger } from '../src/parts/quota/QuotaLedger.js'
import type { QuotaClientEvent, QuotaLedgerAction, QuotaMessage } from '../src/parts/quota/Types.js'
import { SeededRandom } from '../src/parts/SeededRandom.js'
import { encodeMessage } from '../src/runtime/FrameChannel.js'
import type { ForwardedQuotaMessage, ReturnedQuotaAnswer } from '../src/routecontrol/Types.js'

const { values } = parseArgs({
  options: {
    nodes: { type: 'string', default: '81' },
    workspaces: { type: 'string', default: '200' },
    perS: { type: 'string', default: '800' }
  }
})

const nodeCount = Number(values.nodes)
const workspaceCount = Number(values.workspaces)
const perS = Number(values.perS)
const WARM_UP_MS = 6000
const MEASURED_MS = 6000
/** A few workspaces account for a quarter of the requests. */
const LARGE_WORKSPACES = 4
const BATCH_MS = 5
const REPLICAS = 11

const random = new SeededRandom(1)
let nowMs = 10_000
const nodes = Array.from({ length: nodeCount }, (_, index) => ({
  name: `10.0.${index >> 8}.${index & 255}:7000`,
  client: new QuotaClient({
    incarnation: () => 1_700_000_000_000, startedAtMs: -60_000, random, rank: () => ({ index, count: nodeCount })
  })
}))
const names = nodes.map(({ name }) => name)
const quota = { ratePerS: 2 * perS, burst: 100 }
const startBytes = heapBytes()
const ledger = new QuotaLedger({ term: 1, startedAtMs: nowMs, findQuota: () => quota, listNodes: () => names })
let isMeasured = false
const figures = {
  requests: 0, messages: 0, clientMs: 0, ledgerMs: 0, codecMs: 0, frames: 0, upBytes: 0, downBytes: 0, linkBytes: 0
}
let lastId = 0

function heapBytes (): number {
  (globalThis as { gc?: () => void }).gc?.()
  return process.memoryUsage().heapUsed
}

function timed<Result> (name: 'clientMs' | 'ledgerMs' | 'codecMs', run: () => Result): Result {
  const startMs = performance.now()
  const result = run()
  if (isMeasured) figures[name] += performance.now() - startMs
  return result
}

function stepClient (node: typeof nodes[number], event: QuotaClientEvent): QuotaMessage[] {
  const actions = timed('clientMs', () => [...node.client.step(event, nowMs), ...node.client.step({ type: 'flush' }, nowMs)])
  return actions.flatMap(action => action.type === 'send' ? [action.message] : [])
}

/** Passes the messages of one replica's nodes to the ledger in one frame, and the answers back. */
function deliver (messages: readonly ForwardedQuotaMessage[]): void {
  const frame = timed('codecMs', () => encodeMessage({ type: 'quotaForward', messages }))
  const answers: ReturnedQuotaAnswer[] = []
  for (const { node, message } of messages) {
    const actions: QuotaLedgerAction[] = timed('ledgerMs', () => ledger.step({ type: 'message', node, message }, nowMs))
    for (const action of actions) if (action.type === 'answer') answers.push({ node: action.node, answer: action.answer })
  }
  const back = timed('codecMs', () => encodeMessage({ type: 'quotaReturn', answers }))
  for (const { node, answer } of answers) {
    stepClient(nodes[names.indexOf(node)]!, { type: 'answer', answer })
    if (isMeasured) figures.downBytes += encodeMessage({ type: 'quotaAnswer', answer }).length
  }
  if (!isMeasured) return
  figures.frames += 2
  figures.messages += messages.length
  figures.linkBytes += frame.length + back.length
  for (const { message } of messages) figures.upBytes += encodeMessage({ type: 'quotaAsk', message }).length
}

function pickWorkspace (): string {
  const isLarge = random.next() < 0.25
  const count = isLarge ? LARGE_WORKSPACES : workspaceCount
  return `workspace-${Math.floor(random.next() * count)}`
}

function runFor (ms: number): void {
  let due = 0
  for (const endMs = nowMs + ms; nowMs < endMs; nowMs += BATCH_MS) {
    const batches = Array.from({ length: REPLICAS }, (): ForwardedQuotaMessage[] => [])
    const send = (index: number, messages: readonly QuotaMessage[]): void => {
      batches[index % REPLICAS]!.push(...messages.map(message => ({ node: names[index]!, message })))
    }
    for (due += perS * BATCH_MS / 1000; due >= 1; due--) {
      const index = Math.floor(random.next() * nodeCount)
      if (isMeasured) figures.requests++
      send(index, stepClient(nodes[index]!, { type: 'request', id: ++lastId, workspace: pickWorkspace(), quota, waitMs: 1000 }))
    }
    if (nowMs % 50 === 0) nodes.forEach((node, index) => send(index, stepClient(node, { type: 'tick' })))
    if (nowMs % 100 === 0) timed('ledgerMs', () => ledger.step({ type: 'tick' }, nowMs))
    for (const batch of batches) if (batch.length > 0) deliver(batch)
  }
}

nodes.forEach(node => {
  const report = { id: 1, uses: [], returns: [], allowances: [], upMs: 60_000 }
  const message = { sequence: 0, incarnation: 1_700_000_000_000, term: 0, asks: [], report }
  ledger.step({ type: 'message', node: node.name, message }, nowMs)
})
runFor(WARM_UP_MS)
isMeasured = true
runFor(MEASURED_MS)
const seconds = MEASURED_MS / 1000
const bothBytes = heapBytes()
nodes.length = 0
const ledgerBytes = heapBytes() - startBytes
const { size } = ledger
process.stdout.write(`${JSON.stringify({
  nodes: nodeCount,
  workspaces: workspaceCount,
  requestsPerS: figures.requests / seconds,
  messagesPerS: figures.messages / seconds,
  leaderFramesPerS: figures.frames / seconds,
  ledgerUsPerMessage: 1000 * figures.ledgerMs / figures.messages,
  ledgerCpuShare: figures.ledgerMs / MEASURED_MS,
  encodeUsPerFrame: 1000 * figures.codecMs / figures.frames,
  nodeUsPerRequest: 1000 * figures.clientMs / figures.requests,
  upBytesPerMessage: figures.upBytes / figures.messages,
  downBytesPerMessage: figures.downBytes / figures.messages,
  leaderBytesPerS: figures.linkBytes / seconds,
  ledger: size,
  ledgerHeapBytes: ledgerBytes,
  heapBytesOfEachClient: (bothBytes - startBytes - ledgerBytes) / nodeCount
}, null, 2)}\n`)
