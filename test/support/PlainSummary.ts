import type { Reporter, TestModule } from 'vitest/node'

/** Reporter that ends a test run with one line of counts in plain text, for programs that read the output. */
export default class PlainSummary implements Reporter {
  public onTestRunEnd (modules: readonly TestModule[]): void {
    const states = modules.flatMap(module => [...module.children.allTests()].map(test => test.result().state))
    const count = (state: string): number => states.filter(other => other === state).length
    const brokenModules = modules.filter(module => module.errors().length > 0).length
    process.stdout.write(`${count('passed')} passed, ${count('failed') + brokenModules} failed\n`)
  }
}
