import { Command, Option } from 'clipanion'
import type { ControlClient } from '../node/ControlClient.js'
import { renderJob, renderJobs } from '../runtime/renderJobs.js'
import { RemoteCommand } from './RemoteCommand.js'

/** Lists all jobs, or shows the state of one. */
export class JobsCommand extends RemoteCommand {
  static override paths = [['jobs']]
  static override usage = Command.Usage({
    description: 'list all jobs, or show the state of one',
    examples: [['List all', '$0 jobs'], ['Show one job with its tasks', '$0 jobs scene-4']]
  })

  id = Option.String({ name: 'ID', required: false })

  override async runOnNode (client: ControlClient): Promise<number> {
    if (this.id === undefined) return this.printResult(await client.jobs(), jobs => renderJobs(jobs))
    return this.printResult(await client.job(this.id), job => renderJob(job))
  }
}
