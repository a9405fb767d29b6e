import { Command } from 'clipanion'
import type { ControlClient } from '../node/ControlClient.js'
import { RemoteCommand } from './RemoteCommand.js'

/** Starts the planned stop of a node. */
export class DrainCommand extends RemoteCommand {
  static override paths = [['drain']]
  static override usage = Command.Usage({
    description: 'start the planned stop of a node',
    details: 'The node reports that it is not ready, accepts no new work and hands its workers over to other nodes. It exits once the requests in flight have ended or the drain time in its settings has passed.'
  })

  override async runOnNode (client: ControlClient): Promise<number> {
    return this.printResult(await client.drain(), () => 'the node is draining and exits when it is done')
  }
}
