import xxhash from 'xxhash-wasm'
import type { NodeId, ServiceName } from '../Types.js'
import type { ServiceDigest } from './Types.js'

const hasher = await xxhash()
const SECOND_SEED = 1

/** What the index holds of one service. */
interface Service {
  readonly nodes: Map<NodeId, boolean>
  low: number
  high: number
}

/**
 * Nodes by service, with a digest of each service that is kept up to date as members come and go. The digest is the
 * exclusive or of 64-bit hashes of the members' visible texts, so the order does not matter.
 */
export class ServiceIndex {
  private readonly _services = new Map<ServiceName, Service>()

  /** Names of the services that have a member. */
  public names (): ServiceName[] {
    return [...this._services.keys()]
  }

  /**
   * Returns the nodes of a service, live or not.
   * @param name Service.
   */
  public nodesOf (name: ServiceName): NodeId[] {
    return [...(this._services.get(name)?.nodes.keys() ?? [])]
  }

  /**
   * Adds a node to its service.
   * @param name Service.
   * @param node Node.
   * @param text Visible text, or undefined for a member that is silent or has left.
   */
  public add (name: ServiceName, node: NodeId, text: string | undefined): void {
    const service = this._services.get(name) ?? { nodes: new Map(), low: 0, high: 0 }
    this._services.set(name, service)
    service.nodes.set(node, text !== undefined)
    toggle(service, text)
  }

  /**
   * Takes a node out of its service.
   * @param name Service.
   * @param node Node.
   * @param text Visible text under which it was added.
   */
  public remove (name: ServiceName, node: NodeId, text: string | undefined): void {
    const service = this._services.get(name)
    if (service === undefined) {
      return
    }
    service.nodes.delete(node)
    toggle(service, text)
    if (service.nodes.size === 0) {
      this._services.delete(name)
    }
  }

  /**
   * Returns the digest of one service; that of an unknown or empty one is all zeros.
   * @param name Service.
   */
  public digestOf (name: ServiceName): ServiceDigest {
    const service = this._services.get(name)
    return { service: name, digest: hex(service?.high ?? 0) + hex(service?.low ?? 0) }
  }
}

function toggle (service: Service, text: string | undefined): void {
  if (text !== undefined) {
    service.low ^= hasher.h32(text)
    service.high ^= hasher.h32(text, SECOND_SEED)
  }
}

function hex (value: number): string {
  return (value >>> 0).toString(16).padStart(8, '0')
}
