import { Option } from 'clipanion'
import type { Result } from '@rattanstep/core'
import { parseAddress } from '@rattanstep/rules'
import { ControlClient } from '../node/ControlClient.js'
import type { ControlError } from '../types/control.js'
import { CommandLineError } from '../types/CommandLineError.js'
import { EXIT_FAILURE, EXIT_SUCCESS } from '../types/exitCode.js'
import { BaseCommand } from './BaseCommand.js'

/** Control address if neither the option nor the environment variable sets one. */
const DEFAULT_NODE = '127.0.0.1:7070'

/** Base of the commands that send requests to a running node. */
export abstract class RemoteCommand extends BaseCommand {
  node = Option.String('--node', { description: `control address HOST:PORT of the node (default RATTANSTEP_NODE, else ${DEFAULT_NODE})` })
  secret = Option.String('--secret', { description: 'secret from the node\'s settings (default RATTANSTEP_SECRET)' })

  /**
   * Runs the command against a node.
   *
   * @param client - client for the node's control interface
   * @returns the exit code
   */
  abstract runOnNode (client: ControlClient): Promise<number>

  override async run (): Promise<number> {
    const { env } = this.context
    const nodeText = this.node ?? env.RATTANSTEP_NODE ?? DEFAULT_NODE
    const address = parseAddress(nodeText)
    if (address === null) throw new CommandLineError(`${JSON.stringify(nodeText)} was given as node, expected an IP address and a port such as ${DEFAULT_NODE}; correct --node or RATTANSTEP_NODE`)
    const client = new ControlClient({ node: address, secret: this.secret ?? env.RATTANSTEP_SECRET ?? '' })
    try {
      return await this.runOnNode(client)
    } finally {
      await client.close()
    }
  }

  /**
   * Prints the response of a node, as text or as JSON with `--json`.
   *
   * @param result - the response, or why there is none
   * @param render - formats the response as text
   * @returns the exit code
   */
  protected printResult<T> (result: Result<T, ControlError>, render: (value: T) => string): number {
    if (result.isErr()) return this.printFailure(result.error)
    if (this.json) this.printJson(result.value)
    else this.print(render(result.value))
    return EXIT_SUCCESS
  }

  /**
   * Prints why a request to a node failed.
   *
   * @param error - the failure
   * @returns the exit code
   */
  protected printFailure (error: ControlError): number {
    if (this.json) this.printJson({ error })
    else for (const { code, message } of error.findings) this.print(`${code} ${message}`)
    this.printError(error.message)
    return EXIT_FAILURE
  }
}
