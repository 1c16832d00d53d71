import xxhash from 'xxhash-wasm'
import type { NodeId, ServiceName } from '../Types.js'
import type { ServiceDigest } from './Types.js'

const hasher = await xxhash()
const HIGH_HASH_SEED = 1

/** What the index holds of one service. */
interface ServiceNodes {
  readonly nodes: Map<NodeId, boolean>
  digestLow: number
  digestHigh: number
}

/**
 * Nodes by service, with a digest of each service that is kept up to date as members come and go. The digest is the
 * exclusive or of 64-bit hashes of the members' visible texts, so the order does not matter.
 */
export class ServiceIndex {
  private readonly _services = new Map<ServiceName, ServiceNodes>()

  /** Names of the services that have a member. */
  public names (): ServiceName[] {
    return [...this._services.keys()]
  }

  /**
   * Returns the nodes of a service, live or not.
   * @param name Service.
   */
  public getNodes (name: ServiceName): NodeId[] {
    return [...(this._services.get(name)?.nodes.keys() ?? [])]
  }

  /**
   * Adds a node to its service.
   * @param name Service.
   * @param node Node.
   * @param text Visible text, or undefined for a member that is silent or has left.
   */
  public add (name: ServiceName, node: NodeId, text: string | undefined): void {
    const service = this._services.get(name) ?? { nodes: new Map(), digestLow: 0, digestHigh: 0 }
    this._services.set(name, service)
    service.nodes.set(node, text !== undefined)
    xorIntoDigest(service, text)
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
    xorIntoDigest(service, text)
    if (service.nodes.size === 0) {
      this._services.delete(name)
    }
  }

  /**
   * Returns the digest of one service; that of an unknown or empty one is all zeros.
   * @param name Service.
   */
  public getDigest (name: ServiceName): ServiceDigest {
    const service = this._services.get(name)
    return { service: name, digest: toHex(service?.digestHigh ?? 0) + toHex(service?.digestLow ?? 0) }
  }
}

function xorIntoDigest (service: ServiceNodes, text: string | undefined): void {
  if (text !== undefined) {
    service.digestLow ^= hasher.h32(text)
    service.digestHigh ^= hasher.h32(text, HIGH_HASH_SEED)
  }
}

function toHex (value: number): string {
  return (value >>> 0).toString(16).padStart(8, '0')
}
