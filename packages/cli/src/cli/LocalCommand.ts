import { Command, Option } from 'clipanion'
import { JsonLog } from '@rattanstep/telemetry'
import type { Log, LogLevel } from '@rattanstep/telemetry'
import { readSampleRules } from '../node/readSampleRules.js'
import type { LocalCell } from '../node/startLocal.js'
import { CommandLineError } from '../types/CommandLineError.js'
import { EXIT_FAILURE, EXIT_SUCCESS } from '../types/exitCode.js'
import { parsePort } from '../utils/parsePort.js'
import { DaemonCommand } from './DaemonCommand.js'

const LOG_LEVELS: readonly string[] = ['debug', 'info', 'warn', 'error']
const DEFAULT_PORT = '8080'

/** Runs a cell of one node in this process. */
export class LocalCommand extends DaemonCommand {
  static override paths = [['local']]
  static override usage = Command.Usage({
    description: 'run one node with stand-ins for platform and workers in this process',
    details: 'Prints the URL for callers on one line once the node serves requests. The control address and the secret go to standard error. No state is kept after the process exits.',
    examples: [['Run on a port that the system chooses', '$0 local --port 0'], ['Log every decision', '$0 local --log info']]
  })

  port = Option.String('--port', DEFAULT_PORT, { description: `port for callers (default ${DEFAULT_PORT}); 0 lets the system choose` })
  controlPort = Option.String('--control-port', '0', { description: 'port for operators (default 0, which lets the system choose)' })
  rules = Option.String('--rules', { description: 'rules file (default: examples/hunt-desk.yaml, or the built-in rules where that file is missing)' })
  log = Option.String('--log', { description: 'lowest severity that is logged to standard error: debug, info, warn or error (default: no log)' })

  override async start (): Promise<number> {
    const port = parsePort('--port', this.port)
    const controlPort = parsePort('--control-port', this.controlPort)
    const log = this.createLog()
    const rules = this.rules === undefined ? await readSampleRules() : await this.readRules(this.rules)
    if (rules === null) return EXIT_FAILURE
    const secret = this.context.env.RATTANSTEP_SECRET
    // Imported on demand: only commands that run a node need these packages.
    const { startLocal } = await import('../node/startLocal.js')
    const cell = await startLocal({ port, controlPort, rules, secret, log })
    this.printAddresses(cell)
    const stop = (): void => { cell.drain().catch(() => { process.exitCode = EXIT_FAILURE }) }
    process.once('SIGTERM', stop)
    process.once('SIGINT', stop)
    await cell.ended
    return EXIT_SUCCESS
  }

  private printAddresses ({ front, control, secret }: LocalCell): void {
    const url = `http://${front.host}:${front.port}`
    this.printError(`operators: RATTANSTEP_NODE=${control.host}:${control.port} RATTANSTEP_SECRET=${secret}`)
    if (this.json) this.print(JSON.stringify({ url, control: `${control.host}:${control.port}`, secret }))
    else this.print(url)
  }

  private createLog (): Log | undefined {
    if (this.log === undefined) return undefined
    if (!LOG_LEVELS.includes(this.log)) throw new CommandLineError(`--log ${this.log} was given, expected one of ${LOG_LEVELS.join(', ')}`)
    return new JsonLog({ node: 'local', level: this.log as LogLevel, destination: this.context.stderr })
  }
}
