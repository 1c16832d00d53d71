import { afterEach, expect, test } from 'vitest'
import { Crowd, type Sending, sendBody, sendChunks } from '../support/Crowd.js'
import { CrowdSite, ROUTE_KINDS } from '../support/CrowdSite.js'

const KB = 1024
const MB = 1024 * KB

/** Three such bodies take a quarter of the memory of the smallest VMs but for a byte. */
const LARGE_BYTES = Math.floor(62.5 * MB / 3)

let site: CrowdSite | undefined
let crowd: Crowd | undefined

afterEach(async () => {
  crowd?.leave()
  await site?.dispose()
  crowd = undefined
  site = undefined
})

/** Lets a crowd send to a node, and expects an ordinary upload to be served while it is open and after it has left. */
async function expectService (count: number, sending: Sending, pauseMs = 0): Promise<void> {
  site = await CrowdSite.start(1)
  const [node] = site.nodes as [CrowdSite['control']]
  crowd = new Crowd({ host: node.host, count, pauseMs }, sending)
  await crowd.sent()
  const ordinary = { host: node.host, body: Buffer.alloc(KB, 'o') }
  const during = []
  for (const kind of ROUTE_KINDS) during.push(await site.serve({ ...ordinary, path: `/svc-0/${kind}/` }))
  crowd.leave()
  const after = await site.serve({ ...ordinary, path: '/svc-0/upload/' })
  const served = { status: 200, text: String(KB) }
  const excess = site.findExcess(node)
  expect({ excess, during, after }).toEqual({ excess: [], during: ROUTE_KINDS.map(() => served), after: served })
}

for (const kind of ROUTE_KINDS) {
  const path = `/svc-0/${kind}/`

  test(`a crowd of ${kind} bodies with a length stays within memory`, async () => {
    await expectService(12, () => sendBody(path, 24 * MB))
  })

  test(`a crowd of ${kind} bodies in large chunks stays within memory`, async () => {
    await expectService(12, () => sendChunks(path, 24 * MB, 64 * KB))
  })

  test(`a crowd of ${kind} bodies in chunks of one byte stays within memory`, async () => {
    await expectService(8, () => sendChunks(path, 512 * KB, 1))
  })

  test(`a few large ${kind} bodies that stop short of their end leave room for ordinary ones`, async () => {
    await expectService(3, () => sendBody(path, LARGE_BYTES))
  })
}

test('bodies that are announced and never begin leave room for ordinary ones', async () => {
  await expectService(3, () => sendBody('/svc-0/upload/', LARGE_BYTES, LARGE_BYTES))
})

test('a crowd of bodies that arrive piece by piece leaves room for ordinary ones', async () => {
  await expectService(40, () => sendBody('/svc-0/upload/', 2 * MB, 1, 256 * KB), 50)
})

test('a crowd of bodies on many connections stays within memory', async () => {
  await expectService(400, () => sendBody('/svc-0/idempotent/', MB))
})
