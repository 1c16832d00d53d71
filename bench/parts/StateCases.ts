import { ConfigurationFollower } from '../../src/parts/configuration/ConfigurationFollower.js'
import { EMPTY_CONFIGURATION } from '../../src/parts/configuration/ConfigurationDigest.js'
import type { ServiceRule } from '../../src/parts/configuration/Types.js'
import { MembershipTable } from '../../src/parts/membership/MembershipTable.js'
import { IdempotencyLedger } from '../../src/parts/records/IdempotencyLedger.js'
import type { PartCase } from './Measure.js'

/** Number of services in the mesh. */
const SERVICES = 140

const ANSWER = { status: 201, headers: [['content-type', 'application/json']], body: new Uint8Array(200), truncated: false } as const

function ledgerCase (size: number): PartCase {
  return {
    part: 'IdempotencyLedger',
    decision: 'begin and finish',
    size,
    build: () => {
      const ledger = new IdempotencyLedger()
      const runCall = (call: number): void => {
        const record = { service: 'custody', key: `key-${call}` }
        const holder = { node: 'n1', incarnation: 1, call }
        ledger.apply({ type: 'begin', record, fingerprint: 'f', holder, runForMs: 1000 }, call)
        ledger.apply({ type: 'finish', record, holder, answer: { ...ANSWER, body: new Uint8Array(200) } }, call)
      }
      for (let call = 1; call <= size; call++) {
        runCall(-call)
      }
      return runCall
    }
  }
}

function membershipCase (size: number): PartCase {
  return {
    part: 'MembershipTable',
    decision: 'heartbeat',
    size,
    build: () => {
      const table = new MembershipTable({ role: 'replica' })
      for (let index = 0; index < size; index++) {
        table.step({
          type: 'announce',
          member: {
            node: `n${index}`,
            service: `s${index % SERVICES}`,
            incarnation: 1,
            sequence: 1,
            state: 'serving',
            address: `10.0.${index >> 8}.${index & 255}:7000`,
            place: { region: 'r0', zone: 'z0' },
            slots: 6
          }
        }, 0)
      }
      return decision => table.step(
        { type: 'heartbeat', node: `n${decision % size}`, incarnation: 1, sequence: 1 }, decision / 100
      )
    }
  }
}

function buildServiceRule (index: number): ServiceRule {
  return {
    name: `s${index}`,
    guarded: ['POST /orders'],
    downloads: ['GET /packs'],
    keyless: 'refuse',
    deadlineMs: 500,
    drainMs: 60_000,
    retryShare: 0.08,
    maxBodyBytes: 65_536
  }
}

const FOLLOWER: PartCase = {
  part: 'ConfigurationFollower',
  decision: 'confirm',
  size: SERVICES,
  build: () => {
    const follower = new ConfigurationFollower()
    const services = Array.from({ length: SERVICES }, (_, index) => buildServiceRule(index))
    const configuration = { ...EMPTY_CONFIGURATION, services }
    const copy = { version: 1, term: 1, operation: 'first', configuration }
    follower.step({ type: 'copy', from: 'control', confirmed: true, copy }, 0)
    return decision => follower.step({ type: 'confirm', version: 1, term: 1 }, decision)
  }
}

/** Cases of the parts that hold replicated state: records, members and configuration. */
export const STATE_CASES: readonly PartCase[] = [
  ledgerCase(1000), ledgerCase(50_000), membershipCase(3), membershipCase(200), membershipCase(2200), FOLLOWER
]
