import { createInterface } from 'node:readline'
import { Command, Option } from 'clipanion'
import type { Result } from '@rattanstep/core'
import { EXIT_FAILURE, EXIT_SUCCESS } from '../types/exitCode.js'
import { BaseCommand } from './BaseCommand.js'

/** Explains log lines in words. */
export class ExplainCommand extends BaseCommand {
  static override paths = [['explain']]
  static override usage = Command.Usage({
    description: 'explain a log line in words',
    details: 'Takes one line of a node\'s log, or `-` to read all lines of standard input.',
    examples: [['Explain the last lines', 'tail -n 5 node.log | $0 explain -']]
  })

  line = Option.String({ name: 'LOG-LINE' })

  override async run (): Promise<number> {
    // Imported on demand: the log catalogue imports nearly every package, and the other commands do not need them.
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
