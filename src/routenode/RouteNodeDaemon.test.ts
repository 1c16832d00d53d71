import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { RequestFingerprint } from '../parts/quarantine/RequestFingerprint.js'
import { computeSha1 } from '../runtime/Digest.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import type { FeedToNode, NodeToFeed } from '../routecontrol/Types.js'
import type { FrameChannel } from '../runtime/FrameChannel.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Disposable, Log } from '../runtime/Types.js'
import { RouteNodeDaemon } from './RouteNodeDaemon.js'
import type { HeaderNames } from './Types.js'

const SILENT: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

const opened: Disposable[] = []

afterEach(() => { opened.splice(0).forEach(item => item.dispose()) })

// A report that arrives between the hello and the welcome is in neither the hello nor a publication of its own.
test('an instance that reports itself before the welcome is published after it', async () => {
  const [callers, node, instance, control] = await findFreeAddresses(4) as [string, string, string, string]
  const server = new FrameServer<NodeToFeed, FeedToNode>(new SystemClock())
  const daemon = new RouteNodeDaemon({
    settings: {
      callerAddress: callers,
      nodeAddress: node,
      instanceAddress: instance,
      service: 'svc',
      zone: 'a',
      toleratesZoneLoss: false,
      seeds: [control],
      retryLimits: { ratio: 1, slack: 100, windowMs: 1000 },
      names: {} as HeaderNames,
      stopLimitMs: 1000
    },
    clock: new SystemClock(),
    random: new SeededRandom(1),
    log: SILENT,
    fingerprint: new RequestFingerprint(computeSha1)
  })
  opened.push(daemon, server)
  const report = { id: 'i', bornMs: 1, sequence: 1, service: 'svc', address: instance, slots: 6, coldMs: 0 }
  const frames: string[] = []
  const published = new Promise<string | undefined>(resolve => {
    server.onChannel((channel: FrameChannel<NodeToFeed, FeedToNode>) => {
      channel.onMessage(frame => {
        frames.push(frame.type)
        if (frame.type === 'publish') resolve(frame.entry.instance?.id)
        if (frame.type !== 'feedHello') return
        daemon.report({ ...report, state: 'ready' })
        channel.send({ type: 'welcome', entries: [], controls: [control] })
      })
    })
  })
  await server.listen(control)
  await daemon.start()
  expect(await published).toBe('i')
  expect(frames).toEqual(['feedHello', 'publish'])
})
