/**
 * A minimal test upstream: answers each request at once with a constant body and announces itself to a node.
 * Usage: `node EchoServer.js SERVICE LISTEN_PORT NODE_ADMIN_ADDRESS`.
 */
import { createServer } from 'node:http'

const ANNOUNCE_INTERVAL_MS = 500
const SLOTS = 256
const ANSWER = Buffer.from(JSON.stringify({ die: 'K-1042', bearingMm: 3.2, notes: 'n'.repeat(200) }))

const [service, port, admin] = process.argv.slice(2)

createServer((_request, response) => {
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': ANSWER.length })
  response.end(ANSWER)
}).listen(Number(port), '127.0.0.1')

function announce (): void {
  const body = { service, address: `127.0.0.1:${port}`, slots: SLOTS, connections: SLOTS, state: 'serving' }
  fetch(`http://${admin}/announce`, {
    method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body)
  }).then(async answer => await answer.arrayBuffer()).catch(() => {})
}

setInterval(announce, ANNOUNCE_INTERVAL_MS)
announce()
