import xxhash from 'xxhash-wasm'
import type { NodeId, ServiceName } from '../Types.js'
import type { ServiceDigest } from './Types.js'

const hasher = await xxhash()

/** Seed of the hash in the upper half of a digest; the lower half uses the default seed. */
const HIGH_HASH_SEED = 1

/** Nodes of one service with the two 32-bit halves of its digest. */
interface ServiceNodes {
  /** True for nodes whose member is part of the digest. */
  readonly nodes: Map<NodeId, boolean>
  digestLow: number
  digestHigh: number
}

/**
 * Index of nodes by service, with an incrementally updated digest of each service. The digest is the exclusive or of
 * 64-bit hashes of the members' visible fields, so it does not depend on the order in which members were added.
 *
 * Memory: one entry for each member.
 */
export class ServiceIndex {
  private readonly _services = new Map<ServiceName, ServiceNodes>()

  /** Returns the names of the services that have a member. */
  public names (): ServiceName[] {
    return [...this._services.keys()]
  }

  /**
   * Returns the nodes of a service, also those that are silent or have left.
   * @param name Name of the service.
   */
  public getNodes (name: ServiceName): NodeId[] {
    return [...(this._services.get(name)?.nodes.keys() ?? [])]
  }

  /**
   * Adds a node to its service.
   * @param name Name of the service.
   * @param node Node.
   * @param text Visible fields of the member, or undefined for a member that is silent or has left.
   */
  public add (name: ServiceName, node: NodeId, text: string | undefined): void {
    const service = this._services.get(name) ?? { nodes: new Map(), digestLow: 0, digestHigh: 0 }
    this._services.set(name, service)
    service.nodes.set(node, text !== undefined)
    xorIntoDigest(service, text)
  }

  /**
   * Removes a node from its service.
   * @param name Name of the service.
   * @param node Node.
   * @param text Text that the node was added with; any other corrupts the digest.
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
   * Returns the digest of one service; all zeros for one that is unknown or has no present member.
   * @param name Name of the service.
   */
  public getDigest (name: ServiceName): ServiceDigest {
    const service = this._services.get(name)
    return { service: name, digest: toHex(service?.digestHigh ?? 0) + toHex(service?.digestLow ?? 0) }
  }
}

/** Adds a text to the digest, or removes it when it was added before. */
function xorIntoDigest (service: ServiceNodes, text: string | undefined): void {
  if (text !== undefined) {
    service.digestLow ^= hasher.h32(text)
    service.digestHigh ^= hasher.h32(text, HIGH_HASH_SEED)
  }
}

function toHex (value: number): string {
  return (value >>> 0).toString(16).padStart(8, '0')
}
