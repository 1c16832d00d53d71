/**
 * Replaces the main module of ts-results, whose way of loading its files a bundler can't follow. Its ES module has no
 * default export.
 */
import { Err, Ok } from '../node_modules/ts-results/esm/result.js'

export default { Err, Ok }
