import { AdmissionController } from '../admission/AdmissionController.js'
import { QuarantineTable } from '../quarantine/QuarantineTable.js'
import { RetryPolicy } from '../retry/RetryPolicy.js'
import { SeededRandom } from '../SeededRandom.js'
import type { PartFactories } from './Types.js'

/** Factories of the parts that traces can replay; a trace gives the options of the part's class. */
export const PART_FACTORIES: PartFactories = {
  admission: line => new AdmissionController(new SeededRandom(line.seed), line.options),
  quarantine: line => new QuarantineTable(line.options as ConstructorParameters<typeof QuarantineTable>[0]),
  retry: line => new RetryPolicy(line.options)
}
