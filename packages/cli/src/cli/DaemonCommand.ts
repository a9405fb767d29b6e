import { parseRules } from '@rattanstep/rules'
import { readTextFile } from '../node/readTextFile.js'
import { EXIT_FAILURE } from '../types/exitCode.js'
import { StartError } from '../types/StartError.js'
import { BaseCommand } from './BaseCommand.js'

/** Base of the commands that run a node in this process. */
export abstract class DaemonCommand extends BaseCommand {
  /**
   * Starts the node.
   *
   * @returns the exit code
   * @throws StartError, or an error with the code of a system call, if the node cannot listen on its addresses
   */
  abstract start (): Promise<number>

  override async run (): Promise<number> {
    try {
      return await this.start()
    } catch (error) {
      const reason = describeStartFailure(error)
      if (reason === null) throw error
      this.printError(`the node cannot start: ${reason}; choose an address and port of this machine that nothing listens on`)
      return EXIT_FAILURE
    }
  }

  /**
   * Reads a rules file and prints its findings.
   *
   * @param file - path of the rules file
   * @returns the text, or `null` if it has findings
   * @throws CommandLineError if the file cannot be read
   */
  protected async readRules (file: string): Promise<string | null> {
    const text = await readTextFile(file)
    const rules = text.isErr() ? text : parseRules(text.value, { file })
    if (text.isOk() && rules.isOk()) return text.value
    if (rules.isErr()) this.printFindings(rules.error)
    return null
  }
}

/** Describes why a node did not start. Returns `null` for an error that the environment did not cause, such as a bug. */
function describeStartFailure (error: unknown): string | null {
  if (error instanceof StartError) return error.message
  const { code, address, port } = error as NodeJS.ErrnoException & { address?: string, port?: number }
  if (code === undefined) return null
  return port === undefined ? code : `${code} at ${address}:${port}`
}
