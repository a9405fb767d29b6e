import { parseRules } from '@rattanstep/rules'
import { readTextFile } from '../node/readTextFile.js'
import { EXIT_FAILURE } from '../types/exitCode.js'
import { StartError } from '../types/StartError.js'
import { BaseCommand } from './BaseCommand.js'

/** Commands that run a node in this process. */
export abstract class DaemonCommand extends BaseCommand {
  /** @returns the exit code of a start that failed */
  abstract start (): Promise<number>

  override async run (): Promise<number> {
    try {
      return await this.start()
    } catch (error) {
      const reason = describeStartFailure(error)
      if (reason === null) throw error
      this.printError(`the node can not start: ${reason}; choose an address and port of this machine that nothing listens on`)
      return EXIT_FAILURE
    }
  }

  /**
   * Reads rules and prints what is wrong with them.
   *
   * @param file - path of the rules
   * @returns the text, or `null` when it has findings
   */
  protected async readRules (file: string): Promise<string | null> {
    const text = await readTextFile(file)
    const rules = text.isErr() ? text : parseRules(text.value, { file })
    if (text.isOk() && rules.isOk()) return text.value
    if (rules.isErr()) this.printFindings(rules.error)
    return null
  }
}

/** Says why a node did not start; `null` for a fault of the program itself. */
function describeStartFailure (error: unknown): string | null {
  if (error instanceof StartError) return error.message
  const { code, address, port } = error as NodeJS.ErrnoException & { address?: string, port?: number }
  if (code === undefined) return null
  return port === undefined ? code : `${code} at ${address}:${port}`
}
