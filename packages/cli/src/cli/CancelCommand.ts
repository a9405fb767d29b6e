import { Command, Option } from 'clipanion'
import type { ControlClient } from '../node/ControlClient.js'
import { RemoteCommand } from './RemoteCommand.js'

/** Cancels a job. */
export class CancelCommand extends RemoteCommand {
  static override paths = [['cancel']]
  static override usage = Command.Usage({
    description: 'cancel a job',
    details: 'Tasks that run are stopped, tasks that wait never start. Cancelling again has no further effect.',
    examples: [['Cancel a job', '$0 cancel scene-4']]
  })

  id = Option.String({ name: 'ID' })

  override async speak (client: ControlClient): Promise<number> {
    return this.report(await client.cancel(this.id), () => `job ${this.id} is being cancelled; see jobs ${this.id}`)
  }
}
