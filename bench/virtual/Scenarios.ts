import type { Mesh, RunPlan, MeshSize } from './Mesh.js'

/** Virtual time of the fault in a run. */
export const FAULT_AT_MS = 1000

/** A load on the mesh and the faults that happen to it. */
export interface Scenario {
  readonly name: string
  readonly load: number
  /** Parameters that differ from the defaults of a run. */
  readonly plan?: Partial<RunPlan>
  /** Mesh sizes to simulate. */
  readonly sizes: readonly MeshSize[]
  /** Whether the p99 after the fault is compared with the one before it. */
  readonly measuresRecovery?: boolean
  /** Schedules the faults. */
  injectFault? (mesh: Mesh): void
}

/** Services of two example deployments; every node of a deployment is an ingress node. */
const CATALOGUE: MeshSize = { name: '6x6', instances: 6, slots: 6, ingresses: 12 }
const LEDGER: MeshSize = { name: '3x6', instances: 3, slots: 6, ingresses: 12 }
const MENUS: MeshSize = { name: '4x9', instances: 4, slots: 9, ingresses: 10 }
const ORDERS: MeshSize = { name: '3x9', instances: 3, slots: 9, ingresses: 10 }
const LARGE: MeshSize = { name: '200x6', instances: 200, slots: 6, ingresses: 24 }

const SMALL_SIZES = [CATALOGUE, LEDGER, MENUS, ORDERS]
const FAULT_SIZES = [CATALOGUE, MENUS]

/** Makes one instance ten times slower. */
function slowDown (mesh: Mesh): void {
  mesh.clock.after(FAULT_AT_MS, () => mesh.hosts[0]?.upstream.slowDown(10))
}

/** Makes one pseudorandom instance at a time four times slower, for 5 to 50 ms each. */
function moveSlowdown (mesh: Mesh): void {
  let randomState = mesh.plan.seed
  const next = (): void => {
    randomState = (randomState * 1_103_515_245 + 12_345) % 2_147_483_648
    const host = mesh.hosts[Math.floor(randomState / 1000) % mesh.hosts.length]
    host?.upstream.slowDown(4)
    mesh.clock.after(5 + (randomState / 7 % 1000) / 1000 * 45, () => {
      host?.upstream.slowDown(1)
      next()
    })
  }
  next()
}

/** Makes one instance answer every call with a quick error. */
function failFast (mesh: Mesh): void {
  mesh.clock.after(FAULT_AT_MS, () => {
    const upstream = mesh.hosts[0]?.upstream
    if (upstream !== undefined) {
      upstream.behaviour = 'failing'
    }
  })
}

/** Stops two instances, 150 ms apart. */
function stopTwoUpstreams (mesh: Mesh): void {
  mesh.clock.after(FAULT_AT_MS, () => mesh.crashHost(0))
  mesh.clock.after(FAULT_AT_MS + 150, () => mesh.crashHost(1))
}

/** Stops all instances and ingress nodes of one availability zone. */
function loseZone (mesh: Mesh): void {
  const lost = mesh.hosts[0]?.place.zone
  mesh.clock.after(FAULT_AT_MS, () => {
    mesh.hosts.filter(host => host.place.zone === lost).forEach(host => mesh.crashHost(host.index))
    mesh.ingresses.filter(ingress => ingress.place.zone === lost).forEach(ingress => { ingress.alive = false })
  })
}

/** Restarts one instance every second: it takes no calls for 250 ms and is slow for its first 60 calls. */
function coldStarts (mesh: Mesh): void {
  const host = mesh.hosts[0]
  if (host === undefined) {
    return
  }
  host.state = 'starting'
  mesh.propagateMembership(0)
  mesh.clock.after(250, () => {
    host.upstream.restart(8, 60)
    host.state = 'serving'
    mesh.propagateMembership(0)
  })
  mesh.clock.after(1000, () => coldStarts(mesh))
}

/** All scenarios, in the order of the printed table. */
export const SCENARIOS: readonly Scenario[] = [
  { name: 'steady-50', load: 0.5, sizes: SMALL_SIZES },
  { name: 'steady-70', load: 0.7, sizes: SMALL_SIZES },
  { name: 'steady-85', load: 0.85, sizes: SMALL_SIZES },
  { name: 'steady-95', load: 0.95, sizes: SMALL_SIZES },
  { name: 'slow-tenfold', load: 0.6, sizes: FAULT_SIZES, measuresRecovery: true, injectFault: slowDown },
  { name: 'hopping', load: 0.6, sizes: FAULT_SIZES, injectFault: moveSlowdown },
  { name: 'fail-fast', load: 0.6, sizes: FAULT_SIZES, injectFault: failFast },
  { name: 'lying-report', load: 0.7, plan: { reportsNoLoad: true, announcedFactor: 5 }, sizes: FAULT_SIZES },
  { name: 'two-lost', load: 0.4, sizes: FAULT_SIZES, injectFault: stopTwoUpstreams },
  { name: 'zone-lost', load: 0.45, sizes: FAULT_SIZES, injectFault: loseZone },
  { name: 'cold-start', load: 0.6, sizes: FAULT_SIZES, injectFault: coldStarts },
  { name: 'budget-spent', load: 0.6, plan: { messagesPerCall: 0 }, sizes: FAULT_SIZES, injectFault: coldStarts },
  { name: 'overload-130', load: 1.3, plan: { callerRetries: 3 }, sizes: SMALL_SIZES },
  { name: 'herd-70', load: 0.7, plan: { measureToMs: 800 }, sizes: [LARGE] },
  { name: 'herd-85', load: 0.85, plan: { measureToMs: 800 }, sizes: [LARGE] }
]

/**
 * Schedules the faults of a scenario.
 * @param mesh A new mesh whose clock has not run yet.
 * @param scenario Scenario to apply.
 */
export function applyScenario (mesh: Mesh, scenario: Scenario): void {
  scenario.injectFault?.(mesh)
}
