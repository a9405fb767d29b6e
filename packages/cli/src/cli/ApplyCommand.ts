import { Command, Option } from 'clipanion'
import { parseRules } from '@rattanstep/rules'
import type { ControlClient } from '../node/ControlClient.js'
import { readTextFile } from '../node/readTextFile.js'
import { CommandLineError } from '../types/CommandLineError.js'
import { EXIT_SUCCESS } from '../types/exitCode.js'
import { RemoteCommand } from './RemoteCommand.js'

/** Applies a rules file to every node of the cell. */
export class ApplyCommand extends RemoteCommand {
  static override paths = [['apply']]
  static override usage = Command.Usage({
    description: 'apply a rules file to every node',
    details: 'Checks the file first. With `--based-on`, the rules are refused if another operator has applied rules since that version; `show` prints the current version.',
    examples: [['Replace version 7, and no later version', '$0 apply --based-on 7 rules.yaml']]
  })

  basedOn = Option.String('--based-on', { description: 'version that the file is based on (default: whichever is in force)' })
  file = Option.String({ name: 'FILE' })

  override async runOnNode (client: ControlClient): Promise<number> {
    const basedOn = this.basedOn === undefined ? '*' : parseVersion(this.basedOn)
    const text = await readTextFile(this.file)
    if (text.isErr()) return this.printFindings(text.error)
    const rules = parseRules(text.value, { file: this.file })
    if (rules.isErr()) return this.printFindings(rules.error)
    const applied = await client.apply(text.value, basedOn)
    if (applied.isErr()) return this.printApplyFailure(applied.error)
    if (this.json) this.printJson({ version: applied.value })
    else this.print(`${this.file} is version ${applied.value} of the rules`)
    return EXIT_SUCCESS
  }

  private printApplyFailure (error: Parameters<RemoteCommand['printFailure']>[0]): number {
    const code = this.printFailure(error)
    if (error.fault === 'conflict') this.printError(`version ${error.version} is in force; fetch it with show, merge your change into it and apply the result with --based-on ${error.version}`)
    return code
  }
}

function parseVersion (text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text)
  throw new CommandLineError(`--based-on ${JSON.stringify(text)} was given, expected a version such as 7; show prints it`)
}
