import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect } from 'vitest'
import { ControlGroup, pause, type Route } from '../../bench/state/ControlGroup.js'
import type { ChangeRequest } from '../../src/parts/configuration/Types.js'

/** Ended after each test, the last first. */
export const disposables: Array<() => Promise<void> | void> = []

afterEach(async () => {
  for (const dispose of disposables.splice(0).reverse()) await dispose()
})

/** Settings with which a snapshot is taken after a few changes. */
export const SMALL_SNAPSHOTS = 'storage = { snapshotAfterBytes = 1500 }'

/**
 * A running group whose processes and files go with the test.
 * @param extra TOML lines for all replicas.
 * @param route How replicas reach each other.
 */
export async function startGroup (extra = '', route?: Route): Promise<ControlGroup> {
  const folder = mkdtempSync(join(tmpdir(), 'sassafras-control-'))
  disposables.push(() => rmSync(folder, { recursive: true, force: true }))
  const group = await ControlGroup.create(join(folder, 'group'), 3, extra, route)
  disposables.push(async () => await group.stop())
  group.start()
  await group.leader()
  return group
}

/** A change that differs by one number. */
export function buildChange (base: number, operation: string, bytesPerSecond = 1000): ChangeRequest {
  const measuring = { bytesPerSecond, messagesPerCall: 0.1 }
  return { operation, base, configuration: { services: [], zones: [], measuring } }
}

/** Makes a change that must be accepted. */
export async function makeChange (group: ControlGroup, index: number, base: number, operation: string): Promise<void> {
  expect(await group.changeSurely(index, buildChange(base, operation, 1000 + base)))
    .toEqual({ type: 'accepted', version: base + 1 })
}

/** Waits until a replica serves a quorum read, and returns the version. */
export async function awaitServedVersion (group: ControlGroup, index: number): Promise<number> {
  for (;;) {
    const served = await group.configuration(index)
    if (served !== undefined) return served.version
    await pause()
  }
}
