import { Command, Option } from 'clipanion'
import { parseJob, parseRules, parseSettings } from '@rattanstep/rules'
import { readTextFile } from '../node/readTextFile.js'
import { detectTextKind } from '../runtime/detectTextKind.js'
import type { TextKind } from '../runtime/detectTextKind.js'
import { CommandLineError } from '../types/CommandLineError.js'
import { EXIT_SUCCESS } from '../types/exitCode.js'
import { BaseCommand } from './BaseCommand.js'

const KINDS: readonly string[] = ['rules', 'settings', 'job']

/** Checks a file without connecting to a node. */
export class CheckCommand extends BaseCommand {
  static override paths = [['check']]
  static override usage = Command.Usage({
    description: 'check a rules, settings or job file',
    details: 'Prints each finding on its own line: `FILE:LINE:COLUMN: CODE message`. The exit code is 0 without findings, 1 with findings and 2 if the command line is wrong.',
    examples: [['Check the rules of the hunt desk', '$0 check examples/hunt-desk.yaml'], ['Check a node\'s settings', '$0 check examples/node.yaml']]
  })

  kind = Option.String('--kind', { description: 'rules, settings or job (default: detected from the keys in the file)' })
  file = Option.String({ name: 'FILE' })

  override async run (): Promise<number> {
    if (this.kind !== undefined && !KINDS.includes(this.kind)) {
      throw new CommandLineError(`--kind ${this.kind} was given, expected one of ${KINDS.join(', ')}`)
    }
    const text = await readTextFile(this.file)
    if (text.isErr()) return this.printFindings(text.error)
    const kind = this.kind as TextKind | undefined ?? detectTextKind(text.value)
    const options = { file: this.file, secret: this.context.env.RATTANSTEP_SECRET ?? '' }
    const parse = kind === 'settings' ? parseSettings : kind === 'job' ? parseJob : parseRules
    const result = parse(text.value, options)
    if (result.isErr()) return this.printFindings(result.error)
    if (this.json) this.printJson({ kind, findings: [] })
    else this.print(`${this.file}: no findings (${kind})`)
    return EXIT_SUCCESS
  }
}
