import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect } from 'vitest'
import { ControlGroup, pause, type PeerAddressResolver } from '../../bench/state/ControlGroup.js'
import type { ChangeRequest } from '../../src/parts/configuration/Types.js'

/** Functions that release what a test holds; called after each test, the last first. */
export const disposables: Array<() => Promise<void> | void> = []

afterEach(async () => {
  for (const dispose of disposables.splice(0).reverse()) await dispose()
})

/** Settings of a replica that takes a snapshot after a few changes. */
export const SMALL_SNAPSHOTS = 'storage = { snapshotAfterBytes = 1500 }'

/**
 * Starts a control group whose processes and files are removed after the test.
 * @param extra TOML lines for all replicas.
 * @param route How replicas reach each other.
 */
export async function startGroup (extra = '', route?: PeerAddressResolver): Promise<ControlGroup> {
  const folder = mkdtempSync(join(tmpdir(), 'sassafras-control-'))
  disposables.push(() => rmSync(folder, { recursive: true, force: true }))
  const group = await ControlGroup.create(join(folder, 'group'), 3, extra, route)
  disposables.push(async () => await group.stop())
  group.start()
  await group.leader()
  return group
}

/** Builds a change of the configuration; two changes may differ in their operation or in one number. */
export function buildChange (base: number, operation: string, bytesPerSecond = 1000): ChangeRequest {
  const measuring = { bytesPerSecond, messagesPerCall: 0.1 }
  return { operation, base, configuration: { services: [], zones: [], measuring } }
}

/** Makes a change and expects that it is accepted. */
export async function makeChange (group: ControlGroup, index: number, base: number, operation: string): Promise<void> {
  expect(await group.changeWithRetries(index, buildChange(base, operation, 1000 + base)))
    .toEqual({ type: 'accepted', version: base + 1 })
}

/** Waits until a replica serves a quorum read, and returns the version read. */
export async function awaitServedVersion (group: ControlGroup, index: number): Promise<number> {
  for (;;) {
    const served = await group.configuration(index)
    if (served !== undefined) return served.version
    await pause()
  }
}
