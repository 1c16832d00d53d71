/** Simulates links with fixed delays on a virtual clock; every message is encoded, decoded and counted. */
import { Encoder } from 'cbor-x'

const CODEC = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })
const FRAME_HEADER_BYTES = 4
const MS_PER_SECOND = 1_000

/** Resource usage of one process since the last reset. */
export interface ResourceUsage {
  messages: number
  bytes: number
  cpuMs: number
  /** Second that `secondBytes` counts. */
  second: number
  secondBytes: number
  /** Largest number of bytes in one second. */
  peakSecondBytes: number
}

/** One process on the network. */
export interface Endpoint {
  readonly name: string
  readonly region: number
  readonly resourceUsage: ResourceUsage
  /** Handles a decoded message. */
  receive (from: string, message: unknown): void
}

interface Delivery {
  readonly from: string
  readonly to: string
  readonly bytes: Uint8Array
}

/** Delays of the links in milliseconds. */
export interface Delays {
  readonly inRegionMs: number
  readonly acrossMs: number
}

/** Returns a usage of zero. */
export function createResourceUsage (): ResourceUsage {
  return { messages: 0, bytes: 0, cpuMs: 0, second: 0, secondBytes: 0, peakSecondBytes: 0 }
}

/** Delivers messages in the order of their virtual times and counts the resource usage of each process. */
export class VirtualNetwork {
  public nowMs = 0
  /** Messages for which this returns true are lost. */
  public isCut: (from: string, to: string) => boolean = () => false
  private readonly _endpoints = new Map<string, Endpoint>()
  private readonly _due = new Map<number, Delivery[]>()

  public constructor (private readonly _delays: Delays) {}

  public add (endpoint: Endpoint): void {
    this._endpoints.set(endpoint.name, endpoint)
  }

  /** Encodes a message and schedules its delivery after the delay of the link. */
  public send (from: string, to: string, message: unknown): void {
    const sender = this._endpoints.get(from) as Endpoint
    const receiver = this._endpoints.get(to)
    if (receiver === undefined || this.isCut(from, to)) return
    const bytes = new Uint8Array(CODEC.encode(message))
    this._count(sender.resourceUsage, bytes.length)
    const delayMs = sender.region === receiver.region ? this._delays.inRegionMs : this._delays.acrossMs
    const atMs = this.nowMs + delayMs
    const bucket = this._due.get(atMs) ?? []
    this._due.set(atMs, bucket)
    bucket.push({ from, to, bytes })
  }

  /** Delivers the messages due in this millisecond and advances the clock by one. */
  public advance (): void {
    for (const { from, to, bytes } of this._due.get(this.nowMs) ?? []) {
      const receiver = this._endpoints.get(to) as Endpoint
      this._count(receiver.resourceUsage, bytes.length)
      this.charge(receiver, () => receiver.receive(from, CODEC.decode(bytes)))
    }
    this._due.delete(this.nowMs)
    this.nowMs += 1
  }

  /** Runs work of a process and counts its time, without the work that its messages cause at others. */
  public charge (endpoint: Endpoint, work: () => void): void {
    const startedAtMs = performance.now()
    work()
    endpoint.resourceUsage.cpuMs += performance.now() - startedAtMs
  }

  private _count (usage: ResourceUsage, bodyBytes: number): void {
    const bytes = bodyBytes + FRAME_HEADER_BYTES
    const second = Math.floor(this.nowMs / MS_PER_SECOND)
    usage.messages += 1
    usage.bytes += bytes
    usage.secondBytes = second === usage.second ? usage.secondBytes + bytes : bytes
    usage.second = second
    usage.peakSecondBytes = Math.max(usage.peakSecondBytes, usage.secondBytes)
  }
}
