import { afterEach, expect, test } from 'vitest'
import { CrowdSite, ROUTE_KINDS } from '../support/CrowdSite.js'

/** `MaxBodyBytes` of the users' pages. */
const LARGEST_BYTES = 64 * 1024 * 1024

let site: CrowdSite | undefined

afterEach(async () => {
  await site?.dispose()
  site = undefined
})

for (const isChunked of [false, true]) {
  const name = isChunked ? 'in chunks' : 'with a length'

  for (const kind of ROUTE_KINDS) {
    test(`one ${kind} body of the largest size ${name} is served within memory`, async () => {
      site = await CrowdSite.start(2)
      const [node, other] = site.nodes as [CrowdSite['control'], CrowdSite['control']]
      const body = Buffer.alloc(LARGEST_BYTES, 'b')
      const answers = []
      for (const service of ['svc-0', 'svc-1']) {
        answers.push(await site.serve({ host: node.host, path: `/${service}/${kind}/`, body, isChunked }))
      }
      const served = { status: 200, text: String(LARGEST_BYTES) }
      const excess = [...site.findExcess(node), ...site.findExcess(other)]
      expect({ excess, answers }).toEqual({ excess: [], answers: [served, served] })
    })
  }
}
