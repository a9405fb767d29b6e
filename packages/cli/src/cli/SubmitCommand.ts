import { Command, Option } from 'clipanion'
import { parseJob } from '@rattanstep/rules'
import type { ControlClient } from '../node/ControlClient.js'
import { readTextFile } from '../node/readTextFile.js'
import { expandJob } from '../runtime/expandJob.js'
import { RemoteCommand } from './RemoteCommand.js'

/** Submits a job. */
export class SubmitCommand extends RemoteCommand {
  static override paths = [['submit']]
  static override usage = Command.Usage({
    description: 'submit a job file',
    details: 'Once the command exits with 0, the job is stored. Submitting the same file again has no further effect.',
    examples: [['Submit a batch job', '$0 submit examples/render-job.yaml']]
  })

  file = Option.String({ name: 'FILE' })

  override async runOnNode (client: ControlClient): Promise<number> {
    const text = await readTextFile(this.file)
    if (text.isErr()) return this.printFindings(text.error)
    const job = parseJob(text.value, { file: this.file })
    if (job.isErr()) return this.printFindings(job.error)
    return this.printResult(await client.submit(expandJob(job.value)), () => `job ${job.value.id} was accepted; see jobs ${job.value.id}`)
  }
}
