import { BUDGET, GRACE_MS, PORTS } from './Constants.js'
import type { VmAddresses } from './Types.js'

function common (seeds: readonly VmAddresses[], host: string): string {
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
Grace = "${GRACE_MS}ms"
BudgetRatio = ${BUDGET.ratio}
BudgetSlack = ${BUDGET.slack}
BudgetWindow = "${BUDGET.windowMs}ms"
`
}

/** Settings of a node in the platform's format. */
export function nodeSettings ({ name, host }: VmAddresses, zone: string, seeds: readonly VmAddresses[]): string {
  return `
[Self]
Node = "${name}"
Zone = "${zone}"
AppAddr = "${host}:${PORTS.app}"
Service = "svc"
${common(seeds, host)}`
}

/**
 * Settings of a control replica in the platform's format.
 * @param folder Its disk.
 * @param bootstrap True for the first start of all seeds only.
 */
export function controlSettings (
  { name, host }: VmAddresses, seeds: readonly VmAddresses[], folder: string, bootstrap: boolean
): string {
  return `
[Self]
Node = "${name}"
Ip = "${host}"
Bootstrap = ${bootstrap}
DataDir = "${folder}"
${common(seeds, host)}`
}
