import { createInterface } from 'node:readline'
import { Command, Option } from 'clipanion'
import type { Result } from '@rattanstep/core'
import { EXIT_FINE, EXIT_REFUSED } from '../types/exitCode.js'
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

  override async perform (): Promise<number> {
    // Loaded here, as the catalogue loads every package and other commands need none of them.
    const { explainLine } = await import('../runtime/explainLine.js')
    if (this.line !== '-') return this.show(explainLine(this.line))
    let code = EXIT_FINE
    for await (const line of createInterface({ input: this.context.stdin })) {
      if (line.trim() !== '') code = Math.max(code, this.show(explainLine(line)))
    }
    return code
  }

  private show (text: Result<string, string>): number {
    if (text.isErr()) {
      this.warn(text.error)
      return EXIT_REFUSED
    }
    if (this.json) this.printJson({ text: text.value })
    else this.print(text.value)
    return EXIT_FINE
  }
}
