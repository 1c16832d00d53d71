import { NODE_MEMORY_MB, RETRY_BUDGET, STOP_TIMEOUT_MS, PORTS } from './Constants.js'
import type { VmAddress } from './Types.js'

/** Settings that nodes and control replicas share. */
function commonSettings (seeds: readonly VmAddress[], host: string): string {
  return `
[Network]
InternalPortRange = [${PORTS.replicas}, ${PORTS.replicas + 15}]
Seeds = [${seeds.map(seed => `"${seed.host}:${PORTS.control}"`).join(', ')}]
[Network.Listen]
Inbound = "${host}:${PORTS.nodes}"
Outbound = "${host}:${PORTS.callers}"
Ready = "${host}:${PORTS.ready}"
Control = "${host}:${PORTS.control}"
[Terms.FaultTolerance]
Machines = 1
[Terms.Bounds]
Grace = "${STOP_TIMEOUT_MS}ms"
BudgetRatio = ${RETRY_BUDGET.ratio}
BudgetSlack = ${RETRY_BUDGET.slack}
BudgetWindow = "${RETRY_BUDGET.windowMs}ms"
`
}

/** Returns the settings of a node in the platform's format. */
export function nodeSettings ({ name, host }: VmAddress, zone: string, seeds: readonly VmAddress[]): string {
  return `
[Self]
Node = "${name}"
Zone = "${zone}"
AppAddr = "${host}:${PORTS.instanceEntry}"
Service = "svc"
MemoryMb = ${NODE_MEMORY_MB}
${commonSettings(seeds, host)}`
}

/**
 * Returns the settings of a control replica in the platform's format.
 * @param folder Its data folder.
 * @param bootstrap True only for the first start of all seeds, which forms the group.
 */
export function controlSettings (
  { name, host }: VmAddress, seeds: readonly VmAddress[], folder: string, bootstrap: boolean
): string {
  return `
[Self]
Node = "${name}"
Ip = "${host}"
Bootstrap = ${bootstrap}
DataDir = "${folder}"
${commonSettings(seeds, host)}`
}
