import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { afterEach, expect, test } from 'vitest'
import { SHUTDOWN_DELAY_MS } from '../src/routenode/Constants.js'
import { HEADER_NAMES, type MeshNode, RouteMesh } from './support/RouteMesh.js'

/** Time before the end of its shutdown delay at which the node is blocked, in milliseconds. */
const BEFORE_MS = 150

/** Callers in a thread of their own, which send while the node is blocked; they count the requests that they sent. */
const CALLERS = `
  const { Agent, request } = require('node:http')
  const { parentPort, workerData: { url, idHeader, deadlineHeader, deadlineMs, sentCount } } = require('node:worker_threads')
  const keptAgent = new Agent({ keepAlive: true, maxSockets: 1 })
  const call = (agent, id) => new Promise(resolve => {
    const sent = request(url, { agent, headers: { host: 'h.example', [idHeader]: id, [deadlineHeader]: deadlineMs } }, answer => {
      answer.resume()
      answer.on('close', () => resolve(answer.complete ? answer.statusCode : 'cut'))
    })
    sent.on('error', error => resolve(error.code))
    sent.end(() => {
      Atomics.add(sentCount, 0, 1)
      Atomics.notify(sentCount, 0)
    })
  })
  call(keptAgent, 'before').then(status => parentPort.postMessage(status))
  parentPort.once('message', async () => {
    parentPort.postMessage(await Promise.all([call(keptAgent, 'kept'), call(false, 'new')]))
  })
`

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

/**
 * Returns the outcomes of a request on a kept connection and of one on a new one that arrive before the node closes its
 * connections, while it is blocked.
 * @param lateMs How much later than its shutdown delay ends the node goes on, in milliseconds.
 */
async function callBeforeClose ({ callerUrl, daemon }: MeshNode, deadlineMs: number, lateMs: number): Promise<unknown> {
  const sentCount = new Int32Array(new SharedArrayBuffer(4))
  const { requestId: idHeader, deadlineMs: deadlineHeader } = HEADER_NAMES
  const workerData = { url: `${callerUrl}/read/x`, idHeader, deadlineHeader, deadlineMs: String(deadlineMs), sentCount }
  const callers = new Worker(CALLERS, { eval: true, workerData })
  expect(await once(callers, 'message')).toEqual([200])
  const closeAtMs = performance.now() + SHUTDOWN_DELAY_MS
  const stopped = daemon.stop()
  await new Promise(resolve => setTimeout(resolve, SHUTDOWN_DELAY_MS - BEFORE_MS))
  callers.postMessage('send')
  while (sentCount[0]! < 3) Atomics.wait(sentCount, 0, sentCount[0]!)
  while (performance.now() < closeAtMs + lateMs);
  const [outcomes] = await once(callers, 'message') as [unknown]
  await stopped
  await callers.terminate()
  return outcomes
}

test('requests that have arrived unread when a stop closes the connections are answered', async () => {
  mesh = await RouteMesh.start(2)
  expect(await callBeforeClose(mesh.nodes[0]!, 500, 50)).toEqual([200, 200])
})

test('requests that a stopping node reads too late to serve them are refused and do not run', async () => {
  mesh = await RouteMesh.start(2)
  expect(await callBeforeClose(mesh.nodes[0]!, 3500, 2000)).toEqual([503, 503])
  expect(mesh.nodes.flatMap(({ instance }) => instance.ran)).toEqual(['before'])
})
