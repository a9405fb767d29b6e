import { Command } from 'clipanion'
import type { ControlClient } from '../node/ControlClient.js'
import { renderStatus } from '../runtime/renderStatus.js'
import { RemoteCommand } from './RemoteCommand.js'

/** Tells how a node and its cell stand. */
export class StatusCommand extends RemoteCommand {
  static override paths = [['status']]
  static override usage = Command.Usage({
    description: 'tell what is wrong, since when, and how the node stands',
    details: 'What is wrong comes first, with the rule behind it and who asked for that rule. `--json` gives everything that the node tells.',
    examples: [['Ask another node', '$0 status --node 127.0.0.1:7170']]
  })

  override async runOnNode (client: ControlClient): Promise<number> {
    return this.printResult(await client.status(), status => renderStatus(status, Date.now()))
  }
}
