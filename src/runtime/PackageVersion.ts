import { existsSync, readFileSync } from 'node:fs'

/** Returns the version in the nearest `package.json` above this module, which may be source or built code. */
export function packageVersion (): string {
  let file = new URL('package.json', import.meta.url)
  while (!existsSync(file) && file.pathname !== '/package.json') file = new URL('../package.json', file)
  return (JSON.parse(readFileSync(file, 'utf8')) as { readonly version: string }).version
}
