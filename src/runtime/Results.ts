/**
 * Re-exports `Ok`, `Err` and `Result` of `ts-results`. The package's main file needs `tslib`, which the package doesn't
 * list as a dependency, so the module that defines them is imported by its path.
 */
import results from 'ts-results/result.js'

export const Ok = results.Ok
export const Err = results.Err
export type { Result } from 'ts-results/result.js'
