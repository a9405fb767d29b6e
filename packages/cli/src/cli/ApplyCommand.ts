import { Command, Option } from 'clipanion'
import { parseRules } from '@rattanstep/rules'
import type { ControlClient } from '../node/ControlClient.js'
import { readTextFile } from '../node/readTextFile.js'
import { CommandLineError } from '../types/CommandLineError.js'
import { EXIT_SUCCESS } from '../types/exitCode.js'
import { RemoteCommand } from './RemoteCommand.js'

/** Puts new rules in force. */
export class ApplyCommand extends RemoteCommand {
  static override paths = [['apply']]
  static override usage = Command.Usage({
    description: 'put the rules of a file in force on every node',
    details: 'Checks the file first. With `--based-on` the rules are refused when another operator applied others since that version; `show` prints the version.',
    examples: [['Replace version 7 and no other', '$0 apply --based-on 7 rules.yaml']]
  })

  basedOn = Option.String('--based-on', { description: 'version that the file was made from (default: whichever is in force)' })
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
    if (error.fault === 'conflict') this.printError(`version ${error.version} is in force; get it with show, carry your change over and apply --based-on ${error.version}`)
    return code
  }
}

function parseVersion (text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text)
  throw new CommandLineError(`--based-on ${JSON.stringify(text)} was given, expected a version such as 7; show prints it`)
}
