import { existsSync, readFileSync } from 'node:fs'

/** Version of the package, from the nearest `package.json` above this module, built or not. */
export function packageVersion (): string {
  let file = new URL('package.json', import.meta.url)
  while (!existsSync(file) && file.pathname !== '/package.json') file = new URL('../package.json', file)
  return (JSON.parse(readFileSync(file, 'utf8')) as { readonly version: string }).version
}
