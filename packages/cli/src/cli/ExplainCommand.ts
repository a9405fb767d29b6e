import { createInterface } from 'node:readline'
import { Command, Option } from 'clipanion'
import type { Result } from '@rattanstep/core'
import { EXIT_FAILURE, EXIT_SUCCESS } from '../types/exitCode.js'
import { BaseCommand } from './BaseCommand.js'

/** Says in words what log lines mean. */
export class ExplainCommand extends BaseCommand {
  static override paths = [['explain']]
  static override usage = Command.Usage({
    description: 'say in words what a log line means',
    details: 'Takes one line as it stands in a node\'s log, or `-` for all lines of standard input.',
    examples: [['Explain the last lines', 'tail -n 5 node.log | $0 explain -']]
  })

  line = Option.String({ name: 'LOG-LINE' })

  override async run (): Promise<number> {
    // Loaded here, as the catalogue loads every package and other commands need none of them.
    const { explainLine } = await import('../runtime/explainLine.js')
    if (this.line !== '-') return this.printExplanation(explainLine(this.line))
    let code = EXIT_SUCCESS
    for await (const line of createInterface({ input: this.context.stdin })) {
      if (line.trim() !== '') code = Math.max(code, this.printExplanation(explainLine(line)))
    }
    return code
  }

  private printExplanation (text: Result<string, string>): number {
    if (text.isErr()) {
      this.printError(text.error)
      return EXIT_FAILURE
    }
    if (this.json) this.printJson({ text: text.value })
    else this.print(text.value)
    return EXIT_SUCCESS
  }
}
