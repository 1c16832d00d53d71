/** Where a request goes, according to its head. */
export interface RequestTarget {
  /** Host as the caller names it, with a port if there is one. */
  readonly host: string
  /** Path without a query. */
  readonly path: string
  /** Path with the query, as it is sent to an instance. */
  readonly originForm: string
  /** True when the target names the host, which then replaces the `Host` header (RFC 9112, section 3.2.2). */
  readonly isAbsolute: boolean
}

const ABSOLUTE_FORM = /^https?:\/\/(?:[^/?#@]*@)?([^/?#]*)([^#]*)/i

/**
 * Reads the target of a request in origin form or absolute form.
 * @param target Target of the request line.
 * @param hostHeader Value of the `Host` header; undefined without one.
 */
export function parseRequestTarget (target: string, hostHeader: string | undefined): RequestTarget {
  const absolute = target.startsWith('/') ? null : ABSOLUTE_FORM.exec(target)
  const rest = absolute === null ? target : absolute[2] ?? ''
  const originForm = absolute === null || rest.startsWith('/') ? rest : `/${rest}`
  const query = originForm.indexOf('?')
  return {
    host: absolute?.[1] ?? hostHeader ?? '',
    path: query < 0 ? originForm : originForm.slice(0, query),
    originForm,
    isAbsolute: absolute !== null
  }
}

/**
 * Returns the form in which hosts are compared: in lower case, without the dot that ends a fully qualified name.
 * @param host Host with or without a port.
 */
export function normalizeHost (host: string): string {
  return host.toLowerCase().replace(/\.(?=$|:\d*$)/, '')
}

/** Returns a normalized host without its port. */
export function withoutPort (host: string): string {
  return host.replace(/:\d*$/, '')
}
