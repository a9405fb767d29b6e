import { Command, Option } from 'clipanion'
import type { ControlClient } from '../node/ControlClient.js'
import { toObject, toText } from '../utils/json.js'
import { RemoteCommand } from './RemoteCommand.js'

/** Cancels a job. */
export class CancelCommand extends RemoteCommand {
  static override paths = [['cancel']]
  static override usage = Command.Usage({
    description: 'cancel a job',
    details: 'Running tasks are stopped and waiting tasks are not started. A job that has ended is left unchanged.',
    examples: [['Cancel a job', '$0 cancel scene-4']]
  })

  id = Option.String({ name: 'ID' })

  override async runOnNode (client: ControlClient): Promise<number> {
    return this.printResult(await client.cancel(this.id), job => `job ${this.id} is ${toText(toObject(job).state, 'unknown')}; see jobs ${this.id}`)
  }
}
