import { Command, Option } from 'clipanion'
import { parseRules } from '@rattanstep/rules'
import type { ControlClient } from '../node/ControlClient.js'
import { readText } from '../node/readText.js'
import { EXIT_FINE } from '../types/exitCode.js'
import { Misuse } from '../types/Misuse.js'
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

  override async speak (client: ControlClient): Promise<number> {
    const basedOn = this.basedOn === undefined ? '*' : parseVersion(this.basedOn)
    const text = await readText(this.file)
    if (text.isErr()) return this.refuse(text.error)
    const rules = parseRules(text.value, { file: this.file })
    if (rules.isErr()) return this.refuse(rules.error)
    const applied = await client.apply(text.value, basedOn)
    if (applied.isErr()) return this.failApply(applied.error)
    if (this.json) this.printJson({ version: applied.value })
    else this.print(`${this.file} is version ${applied.value} of the rules`)
    return EXIT_FINE
  }

  private failApply (error: Parameters<RemoteCommand['fail']>[0]): number {
    const code = this.fail(error)
    if (error.fault === 'conflict') this.warn(`version ${error.version} is in force; get it with show, carry your change over and apply --based-on ${error.version}`)
    return code
  }
}

function parseVersion (text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text)
  throw new Misuse(`--based-on ${JSON.stringify(text)} was given, expected a version such as 7; show prints it`)
}
