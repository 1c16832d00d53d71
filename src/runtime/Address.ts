import { connect, Socket } from 'node:net'

/** Host and port of a TCP endpoint. */
export interface Address {
  readonly host: string
  readonly port: number
}

const MAX_PORT = 65_535

/** Longest host name of DNS, in characters. */
const MAX_HOST_LENGTH = 253

const HOST_PATTERN = /^[\w.-]+$|^[\da-fA-F:.]+$/

/**
 * Parses `host:port`; an IPv6 host is written in brackets.
 * @throws RangeError when the text is not an address or the port is above 65535.
 */
export function parseAddress (text: string): Address {
  const address = tryParse(text)
  if (address === undefined) throw new RangeError(`not an address: ${text}, expected host:port`)
  return address
}

/** Returns whether a value is an address that can be connected to: `host:port` with a port from 1 to 65535. */
export function isConnectAddress (value: unknown): value is string {
  if (typeof value !== 'string') return false
  const { host = '', port = 0 } = tryParse(value) ?? {}
  return port > 0 && host.length <= MAX_HOST_LENGTH && HOST_PATTERN.test(host)
}

/**
 * Opens a connection. Addresses of other processes are received from the network, so an invalid one is reported by the
 * socket's `error` event, as for any address that can't be reached.
 */
export function connectTo (text: string): Socket {
  if (isConnectAddress(text)) return connect(parseAddress(text))
  return new Socket().destroy(new RangeError(`not an address: ${text}, expected host:port`))
}

function tryParse (text: string): Address | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text)
  const port = Number(match?.[3])
  return match === null || port > MAX_PORT ? undefined : { host: (match[1] ?? match[2]) as string, port }
}
