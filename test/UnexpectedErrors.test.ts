import { afterEach, expect, test, vi } from 'vitest'
import { RouteTable } from '../src/parts/routing/RouteTable.js'
import { CallerResponder } from '../src/routenode/CallerResponder.js'
import { RouteMesh } from './support/RouteMesh.js'

let mesh: RouteMesh | undefined

afterEach(() => {
  vi.restoreAllMocks()
  mesh?.dispose()
  mesh = undefined
})

const FAILURE = (): never => { throw new Error('a fault in the handling of one request') }

/** Steps of one request that fail once, by the status that its caller then gets. */
const STEPS = {
  503: () => vi.spyOn(RouteTable.prototype, 'find').mockImplementationOnce(FAILURE),
  502: () => vi.spyOn(CallerResponder.prototype, 'send').mockImplementationOnce(FAILURE)
} as const

// The error was uncaught and ended the node with all requests that it held.
for (const [status, failOnce] of Object.entries(STEPS)) {
  test(`an unexpected error in one request answers it with ${status} and ends no other`, async () => {
    mesh = await RouteMesh.start(1)
    const [node] = mesh.nodes as [RouteMesh['nodes'][number]]
    let release: () => void = () => {}
    node.instance.behaviour = (request, response, instance) => {
      if (request.url === '/read/held') release = () => instance.answer(request, response)
      else instance.answer(request, response)
    }
    const held = mesh.call(node, '/read/held')
    while (mesh.startedCount < 1) await new Promise(resolve => setImmediate(resolve))
    failOnce()
    expect((await mesh.call(node, '/read/x')).statusCode).toBe(Number(status))
    release()
    expect([(await held).statusCode, (await mesh.call(node, '/read/x')).statusCode]).toEqual([200, 200])
  })
}
