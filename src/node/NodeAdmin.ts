import type { Request, Response } from 'express'
import { z } from 'zod'
import { AdminServer } from '../runtime/AdminServer.js'
import type { AdminSource } from '../runtime/AdminServer.js'
import type { ConfigurationHost } from './control/ConfigurationHost.js'
import type { UpstreamMonitor } from './UpstreamMonitor.js'

const announcement = z.strictObject({
  service: z.string().min(1),
  address: z.string().regex(/^[^:]+:\d{1,5}$/),
  slots: z.number().int().min(1),
  connections: z.number().int().min(1),
  state: z.enum(['starting', 'serving', 'draining'])
})

/** Builds the admin server of a node: announcements of the upstream, drain, resume, and the configuration in force. */
export function buildNodeAdmin (
  source: AdminSource, monitor: UpstreamMonitor, configuration: ConfigurationHost
): AdminServer {
  const admin = new AdminServer(source)
  admin.app.post('/announce', (request: Request, response: Response) => {
    const parsed = announcement.safeParse(request.body)
    if (!parsed.success) {
      const findings = parsed.error.issues.map(issue => ({
        place: issue.path.join('.'), problem: issue.message, expected: 'see docs/ARCHITECTURE.md'
      }))
      response.status(422).json({ findings })
      return
    }
    monitor.recordAnnouncement(parsed.data)
    response.json({ drained: monitor.isDrained })
  })
  admin.app.post('/drain', (_request: Request, response: Response) => {
    monitor.drain()
    response.json({ drained: true })
  })
  admin.app.post('/resume', (_request: Request, response: Response) => {
    monitor.resume()
    response.json({ drained: false })
  })
  admin.app.get('/configuration', (_request: Request, response: Response) => {
    const copy = configuration.inForce
    if (copy === undefined) response.status(503).json({ reason: 'unconfirmed' })
    else response.json(copy)
  })
  return admin
}
