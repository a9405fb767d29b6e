import { Command, Option } from 'clipanion'
import type { Explanation } from '@rattanstep/cell'
import { parseAddress } from '@rattanstep/rules'
import { CommandLineError } from '../types/CommandLineError.js'
import { EXIT_FAILURE, EXIT_SUCCESS } from '../types/exitCode.js'
import { BaseCommand } from './BaseCommand.js'

/** Time for which the answer of a process is awaited; the process waits for 1 s for its decider. */
const TIMEOUT_MS = 3000

/** Explains where a job of a cell would go now, without sending it. */
export class ExplainJobCommand extends BaseCommand {
  static override paths = [['explain', 'job']]
  static override usage = Command.Usage({
    description: 'explain where a job of a cell would go now, and why',
    details: 'Takes the id of a submitted job, or describes one that is not submitted with `--route` and `--steps`. Nothing is changed.',
    examples: [
      ['Explain why a job waits', '$0 explain job 00000000000000a1 --metrics 127.0.0.1:9100'],
      ['Explain where a gang would start', '$0 explain job --metrics 127.0.0.1:9100 --route gangs --steps \'[{"count":20,"gang":true,"size":{"cpu":4500},"estimate":5000}]\'']
    ]
  })

  id = Option.String({ name: 'ID', required: false })
  metrics = Option.String('--metrics', { required: true, description: 'address HOST:PORT of the metrics port of any process of the cell' })
  route = Option.String('--route', { description: 'route to which the job would be submitted' })
  organisation = Option.String('--organisation', { description: 'organisation that would submit the job' })
  steps = Option.String('--steps', { description: 'steps of the job as a JSON list (default one task of one core)' })

  override async run (): Promise<number> {
    if (parseAddress(this.metrics) === null) throw new CommandLineError(`${JSON.stringify(this.metrics)} was given as metrics port, expected an IP address and a port such as 127.0.0.1:9100; correct --metrics`)
    if ((this.id === undefined) === (this.route === undefined)) throw new CommandLineError('expected either the id of a job or --route')
    const query = new URLSearchParams(this.id === undefined ? { route: this.route! } : { job: this.id })
    if (this.organisation !== undefined) query.set('organisation', this.organisation)
    if (this.steps !== undefined) query.set('steps', this.steps)
    const { status, text } = await this.request(query)
    if (status !== 200) {
      this.printError(text.trim())
      return EXIT_FAILURE
    }
    const explanation = JSON.parse(text) as Explanation
    // Imported on demand, as by `explain`: the other commands do not need the cell.
    const { renderExplanation } = await import('@rattanstep/cell')
    if (this.json) this.printJson(explanation)
    else this.print(renderExplanation(explanation))
    return explanation.refusal === undefined ? EXIT_SUCCESS : EXIT_FAILURE
  }

  private async request (query: URLSearchParams): Promise<{ status: number, text: string }> {
    try {
      const response = await fetch(`http://${this.metrics}/explain?${query.toString()}`, { signal: AbortSignal.timeout(TIMEOUT_MS) })
      return { status: response.status, text: await response.text() }
    } catch (error) {
      return { status: 0, text: `${this.metrics} did not answer: ${String(error instanceof Error ? error.cause ?? error.message : error)}` }
    }
  }
}
