/** The main module of ts-results loads its parts in a way that a bundler can't follow; its other one exports no default. */
import { Err, Ok } from '../node_modules/ts-results/esm/result.js'

export default { Err, Ok }
