import { Command } from 'clipanion'
import type { ControlClient } from '../node/ControlClient.js'
import { renderStatus } from '../runtime/renderStatus.js'
import { RemoteCommand } from './RemoteCommand.js'

/** Shows the state of a node and its view of the cell. */
export class StatusCommand extends RemoteCommand {
  static override paths = [['status']]
  static override usage = Command.Usage({
    description: 'show problems and the state of a node',
    details: 'Problems come first, with their start time, the rule that causes them and who asked for that rule. `--json` prints the whole status of the node.',
    examples: [['Show the status of another node', '$0 status --node 127.0.0.1:7170']]
  })

  override async runOnNode (client: ControlClient): Promise<number> {
    return this.printResult(await client.status(), status => renderStatus(status, Date.now()))
  }
}
