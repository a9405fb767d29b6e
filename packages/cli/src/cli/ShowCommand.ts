import { Command } from 'clipanion'
import type { ControlClient } from '../node/ControlClient.js'
import { EXIT_SUCCESS } from '../types/exitCode.js'
import { RemoteCommand } from './RemoteCommand.js'

/** Prints the rules in force. */
export class ShowCommand extends RemoteCommand {
  static override paths = [['show']]
  static override usage = Command.Usage({
    description: 'print the rules in force, byte for byte',
    details: 'The version goes to standard error, so that standard output can be redirected to a file. With `--json`, one object holds both.',
    examples: [['Save the rules', '$0 show > rules.yaml']]
  })

  override async runOnNode (client: ControlClient): Promise<number> {
    const result = await client.rules()
    if (result.isErr()) return this.printFailure(result.error)
    const { version, text } = result.value
    if (this.json) {
      this.printJson(result.value)
      return EXIT_SUCCESS
    }
    this.context.stdout.write(text)
    this.printError(`version ${version}`)
    return EXIT_SUCCESS
  }
}
