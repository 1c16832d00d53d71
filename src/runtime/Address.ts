/** Host and port of a listener. */
export interface Address {
  readonly host: string
  readonly port: number
}

/**
 * Reads `host:port`; an IPv6 host may stand in brackets.
 * @throws RangeError when the text is not an address.
 */
export function parseAddress (text: string): Address {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text)
  const port = Number(match?.[3])
  if (match === null || port > 65535) throw new RangeError(`not an address: ${text}, expected host:port`)
  return { host: (match[1] ?? match[2]) as string, port }
}
