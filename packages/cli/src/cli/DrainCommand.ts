import { Command } from 'clipanion'
import type { ControlClient } from '../node/ControlClient.js'
import { RemoteCommand } from './RemoteCommand.js'

/** Starts the planned stop of a node. */
export class DrainCommand extends RemoteCommand {
  static override paths = [['drain']]
  static override usage = Command.Usage({
    description: 'start the planned stop of a node',
    details: 'The node turns not ready, takes nothing new, gives its workers to other nodes and ends when what is in flight has ended or the drain time of its settings is over.'
  })

  override async runOnNode (client: ControlClient): Promise<number> {
    return this.printResult(await client.drain(), () => 'the node drains; it ends by itself')
  }
}
