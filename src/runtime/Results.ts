/**
 * `Ok` and `Err` of `ts-results`. The package's main file needs `tslib`, which it does not depend on,
 * so the module that holds them is imported by its path.
 */
import results from 'ts-results/result.js'

export const Ok = results.Ok
export const Err = results.Err
export type { Result } from 'ts-results/result.js'
