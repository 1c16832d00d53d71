/** Host and port of a TCP endpoint. */
export interface Address {
  readonly host: string
  readonly port: number
}

/**
 * Parses `host:port`; an IPv6 host is written in brackets.
 * @throws RangeError when the text is not an address or the port is above 65535.
 */
export function parseAddress (text: string): Address {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text)
  const port = Number(match?.[3])
  if (match === null || port > 65535) throw new RangeError(`not an address: ${text}, expected host:port`)
  return { host: (match[1] ?? match[2]) as string, port }
}
