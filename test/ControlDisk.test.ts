import { appendFileSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import type { ControlGroup } from '../bench/state/ControlGroup.js'
import { makeChange, awaitServedVersion, SMALL_SNAPSHOTS, startGroup } from './support/ControlFixture.js'

/** Returns the path of the newest segment of a replica's log. */
function findNewestLog (group: ControlGroup, index: number): string {
  const folder = group.dataFolderOfReplica(index)
  return join(folder, readdirSync(folder).filter(file => file.startsWith('log-')).sort().at(-1)!)
}

test('changes survive kill -9 of all replicas', async () => {
  const group = await startGroup()
  for (let base = 0; base < 20; base++) await makeChange(group, base % 3, base, `operation-${base}`)
  await group.stop()
  group.start()
  for (let index = 0; index < 3; index++) expect(await awaitServedVersion(group, index)).toBe(20)
})

// A replica with an empty disk must join as a new member and catch up before it counts for the quorum. Under its old
// identity it could vote without the entries that it had acknowledged.
test('no change is lost when a second disk is lost right after the first is repaired', async () => {
  const group = await startGroup(SMALL_SNAPSHOTS)
  const changeCount = 15
  for (let base = 0; base < changeCount; base++) await makeChange(group, 2, base, `operation-${base}`)
  await group.awaitState(2, ({ replica }) => replica.snapshotIndex > 2)
  const initialMembers = (await group.state(0))!.replica.members
  for (const index of [0, 1]) {
    await group.kill(index)
    group.wipe(index)
    group.start(index)
    const state = await group.awaitState(index, ({ replica }) => replica.role !== 'recovering' && replica.members.length === 3)
    expect(initialMembers).not.toContain(state.replica.id)
  }
  expect(await awaitServedVersion(group, 0)).toBe(changeCount)
  expect((await group.state(2))!.replica.members.filter(member => initialMembers.includes(member))).toHaveLength(1)
  await makeChange(group, 0, changeCount, 'after')
})

// A crash in the middle of a write leaves an incomplete record at the end of the log. It was never acknowledged.
test('a torn last write is truncated and the replica keeps its identity', async () => {
  const group = await startGroup()
  await makeChange(group, 0, 0, 'kept')
  const idBeforeRestart = (await group.awaitState(1, state => state.version === 1)).replica.id
  await group.kill(1)
  appendFileSync(findNewestLog(group, 1), Buffer.from([0, 0, 1, 0, 1, 2, 3]))
  group.start(1)
  expect(await awaitServedVersion(group, 1)).toBe(1)
  expect((await group.state(1))!.replica.id).toBe(idBeforeRestart)
})

for (const [name, damage] of Object.entries({
  flipped: (bytes: Buffer) => { bytes[bytes.length - 5]! ^= 1; return bytes },
  truncated: (bytes: Buffer) => bytes.subarray(0, bytes.length - 5)
})) {
  // A damaged record may have been acknowledged: the replica must not vote or serve until its disk is replaced.
  test(`a replica with a ${name} log reports the damaged place and takes no part in the group`, async () => {
    const group = await startGroup()
    await makeChange(group, 0, 0, 'kept')
    await group.awaitState(1, state => state.version === 1)
    await group.kill(1)
    const file = findNewestLog(group, 1)
    writeFileSync(file, damage(readFileSync(file)))
    group.start(1)
    const state = await group.awaitState(1, ({ corruptions }) => corruptions.length > 0)
    expect(state.replica.role).toBe('recovering')
    expect(file).toContain(state.corruptions[0]!.file)
    expect((await group.health(1))!.reason).toContain(` at ${state.corruptions[0]!.offset}: `)
    await makeChange(group, 0, 1, 'without it')
    expect((await group.state(1))!.version).toBe(0)
    await group.kill(1)
    group.wipe(1)
    group.start(1)
    await group.awaitState(1, ({ replica }) => replica.role === 'follower')
    expect(await awaitServedVersion(group, 1)).toBe(2)
  })
}
