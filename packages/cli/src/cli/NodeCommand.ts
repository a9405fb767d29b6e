import { Command, Option } from 'clipanion'
import { parseSettings } from '@rattanstep/rules'
import { readTextFile } from '../node/readTextFile.js'
import { EXIT_FAILURE, EXIT_SUCCESS } from '../types/exitCode.js'
import { DaemonCommand } from './DaemonCommand.js'

/** Runs one node of a cell. */
export class NodeCommand extends DaemonCommand {
  static override paths = [['node']]
  static override usage = Command.Usage({
    description: 'run one node of a cell',
    details: 'The log goes to standard output. SIGTERM starts a planned stop, which waits for the requests in flight. A second SIGTERM stops the node at once.',
    examples: [['Run the first node of the sample cell', '$0 node --settings examples/node.yaml']]
  })

  settings = Option.String('--settings', { required: true, description: 'settings file of the node' })
  rules = Option.String('--rules', { description: 'rules file to use until operators apply rules (default: one class for all requests)' })

  override async start (): Promise<number> {
    const text = await readTextFile(this.settings)
    if (text.isErr()) return this.printFindings(text.error)
    const settings = parseSettings(text.value, { file: this.settings, secret: this.context.env.RATTANSTEP_SECRET })
    if (settings.isErr()) return this.printFindings(settings.error)
    const rules = this.rules === undefined ? undefined : await this.readRules(this.rules)
    if (rules === null) return EXIT_FAILURE
    // Imported on demand: only commands that run a node need these packages.
    const { runDaemon } = await import('@rattanstep/node')
    const { waitUntilServing } = await import('../node/waitForNode.js')
    await waitUntilServing(await runDaemon({ settings: settings.value, rules }))
    return EXIT_SUCCESS
  }
}
