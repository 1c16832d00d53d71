import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { afterEach, expect, test } from 'vitest'
import { SHUTDOWN_DELAY_MS } from '../src/routenode/Constants.js'
import { HEADER_NAMES, type MeshNode, RouteMesh } from './support/RouteMesh.js'

/** Time before the end of its shutdown delay at which the node begins to stand still, and after it; milliseconds. */
const MARGIN_MS = { before: 150, after: 50 }

/** Callers in a thread of their own, which send while the node stands still; they count the requests that they sent. */
const CALLERS = `
  const { Agent, request } = require('node:http')
  const { parentPort, workerData: { url, idHeader, sentCount } } = require('node:worker_threads')
  const keptAgent = new Agent({ keepAlive: true, maxSockets: 1 })
  const call = (agent, id) => new Promise(resolve => {
    const sent = request(url, { agent, headers: { host: 'h.example', [idHeader]: id } }, answer => {
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

test('requests that have arrived unread when a stop closes the connections are answered', async () => {
  mesh = await RouteMesh.start(2)
  const [node] = mesh.nodes as [MeshNode]
  const sentCount = new Int32Array(new SharedArrayBuffer(4))
  const workerData = { url: `${node.callerUrl}/read/x`, idHeader: HEADER_NAMES.requestId, sentCount }
  const callers = new Worker(CALLERS, { eval: true, workerData })
  expect(await once(callers, 'message')).toEqual([200])
  const closeAtMs = performance.now() + SHUTDOWN_DELAY_MS
  const stopped = node.daemon.stop()
  await new Promise(resolve => setTimeout(resolve, SHUTDOWN_DELAY_MS - MARGIN_MS.before))
  callers.postMessage('send')
  while (sentCount[0]! < 3) Atomics.wait(sentCount, 0, sentCount[0]!)
  while (performance.now() < closeAtMs + MARGIN_MS.after);
  expect(await once(callers, 'message')).toEqual([[200, 200]])
  await stopped
  await callers.terminate()
})
