import { request } from 'node:http'
import type { ClientRequest, IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import { computeSha1 } from '../../src/runtime/Digest.js'
import { HEADER_NAMES, type MeshNode, type MockInstance, pause, type RouteMesh } from './RouteMesh.js'

/** Result of an upload for its caller: a status, or `cut` when the connection was lost first. */
export interface UploadResult {
  readonly status: number | 'cut'
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

/** An upload in progress. */
export interface Upload {
  readonly id: string
  readonly request: ClientRequest
  readonly result: Promise<UploadResult>
}

let lastId = 0

/** Returns a body whose content depends on the position, so that lost or reordered chunks show. */
export function makeBody (bytes: number, seed = 1): Buffer {
  const body = Buffer.alloc(bytes)
  for (let i = 0, value = seed; i < bytes; i++) {
    value = (value * 1103515245 + 12345) & 0x7fffffff
    body[i] = value >> 16
  }
  return body
}

/**
 * Starts an upload without sending any of its body.
 * @param bytes Size to announce; undefined for a body of unknown length.
 */
export function openUpload (node: MeshNode, bytes: number | undefined, deadlineMs = 20_000): Upload {
  const id = `u-${++lastId}`
  const sizeHeaders = bytes === undefined ? { 'transfer-encoding': 'chunked' } : { 'content-length': String(bytes) }
  const headers = {
    host: 'h.example', [HEADER_NAMES.requestId]: id, [HEADER_NAMES.deadlineMs]: String(deadlineMs), ...sizeHeaders
  }
  const outgoing = request(`${node.callerUrl}/upload/x`, { method: 'POST', headers, agent: false })
  const result = new Promise<UploadResult>(resolve => {
    outgoing.once('error', () => resolve({ status: 'cut', headers: {}, body: '' }))
    outgoing.once('response', response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', () => {})
      response.once('close', () => {
        const status = response.complete ? response.statusCode ?? 0 : 'cut'
        resolve({ status, headers: response.headers, body: Buffer.concat(chunks).toString() })
      })
    })
  })
  return { id, request: outgoing, result }
}

/** Sends an upload with its whole body. */
export function startUpload (node: MeshNode, body: Buffer, deadlineMs?: number): Upload {
  const upload = openUpload(node, body.length, deadlineMs)
  upload.request.end(body)
  return upload
}

/** Records the bodies that instances received completely, by request id, and answers with their digests. */
export class BodyRecorder {
  /** Digest of each body that arrived complete. */
  public readonly digests = new Map<string, string>()

  /** Behaviour of an instance that reads the whole body before it answers. */
  public readonly behaviour = (incoming: IncomingMessage, response: ServerResponse, instance: MockInstance): void => {
    this.record(incoming)
    incoming.once('end', () => instance.answer(incoming, response))
  }

  /** Records the body of a request once it is complete. */
  public record (incoming: IncomingMessage): void {
    const chunks: Buffer[] = []
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
    incoming.on('error', () => {})
    incoming.once('end', () => {
      this.digests.set(String(incoming.headers[HEADER_NAMES.requestId]), computeSha1(Buffer.concat(chunks)))
    })
  }

  /** Returns whether the body of an upload arrived whole and unchanged. */
  public hasWhole ({ id }: Upload, body: Buffer): boolean {
    return this.digests.get(id) === computeSha1(body)
  }
}

/** Makes the instance of a node take no calls, so that its callers' requests go to other VMs. */
export function drainInstance ({ daemon, instance }: MeshNode): void {
  const { id, address } = instance
  daemon.report({ id, bornMs: 1, sequence: 9, service: 'svc', address, slots: 6, state: 'draining', coldMs: 0 })
}

/** What a node holds of bodies. */
export interface BodiesState {
  readonly heldBytes: number
  readonly openTransfers: number
}

/** Returns what a node holds of bodies. */
export function readBodies ({ daemon }: MeshNode): BodiesState {
  return (daemon.state() as { readonly bodies: BodiesState }).bodies
}

/** Waits until no node holds a body or moves one. */
export async function awaitNoBodies ({ nodes }: RouteMesh): Promise<void> {
  const isIdle = (node: MeshNode): boolean => {
    const { heldBytes, openTransfers } = readBodies(node)
    return heldBytes === 0 && openTransfers === 0
  }
  while (!nodes.every(isIdle)) await pause()
}

/** Waits until a node moves a body. */
export async function awaitTransfer (node: MeshNode): Promise<void> {
  while (readBodies(node).openTransfers === 0) await new Promise(resolve => setImmediate(resolve))
}
