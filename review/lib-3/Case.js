/** Runs one case: the deployment, the events, the check, and the exit code that the issue asks for. */
import { join } from 'node:path'
import { Deployment } from './Deployment.js'
import { Record } from './Record.js'

const LIMIT_MS = 115_000

/**
 * @param folder Folder of the case, for `record.txt`.
 * @param play Plays the case and returns the broken rules, each in a line.
 * @param options Options of the deployment.
 */
export async function runCase (folder, play, options = {}) {
  const record = new Record()
  const hasTrouble = process.env.TROUBLE !== '0'
  record.add('start', { trouble: hasTrouble })
  let deployment
  let code = 2
  const verdict = []
  const limit = setTimeout(() => { finish('the case took too long') }, LIMIT_MS)
  const finish = async problem => {
    if (problem !== undefined) verdict.push(`could not run: ${problem}`)
    clearTimeout(limit)
    await deployment?.dispose()
    record.write(join(folder, 'record.txt'), verdict)
    console.log(verdict.join('\n'))
    process.exit(code)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { finish(signal) })
  try {
    deployment = await Deployment.create(options)
    const broken = await play({ deployment, record, hasTrouble })
    code = broken.length > 0 ? 1 : 0
    verdict.push(...(broken.length > 0 ? broken.slice(0, 40) : ['held']))
    await finish()
  } catch (error) {
    await finish(error.stack)
  }
}
