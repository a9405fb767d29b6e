import { Command, Option } from 'clipanion'
import { formatFinding } from '@rattanstep/core'
import type { Finding } from '@rattanstep/core'
import { CommandLineError } from '../types/CommandLineError.js'
import { EXIT_FAILURE, EXIT_USAGE_ERROR } from '../types/exitCode.js'

/** Base of all commands: output, findings and exit codes. */
export abstract class BaseCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'print JSON for other programs' })

  /**
   * Runs the command.
   *
   * @returns the exit code
   * @throws CommandLineError if the command line is wrong
   */
  abstract run (): Promise<number>

  override async execute (): Promise<number> {
    try {
      return await this.run()
    } catch (error) {
      if (!(error instanceof CommandLineError)) throw error
      this.printError(error.message)
      return EXIT_USAGE_ERROR
    }
  }

  /** @param text - printed to standard output, followed by a line break */
  protected print (text: string): void {
    this.context.stdout.write(text + '\n')
  }

  /** @param text - printed to standard error, followed by a line break */
  protected printError (text: string): void {
    this.context.stderr.write(text + '\n')
  }

  /** @param value - printed to standard output as indented JSON */
  protected printJson (value: unknown): void {
    this.print(JSON.stringify(value, null, 2))
  }

  /**
   * Prints findings to standard output, one on a line, or as JSON with `--json`.
   *
   * @param findings - at least one finding
   * @returns the exit code
   */
  protected printFindings (findings: Finding[]): number {
    if (this.json) this.printJson({ findings })
    else for (const finding of findings) this.print(formatFinding(finding))
    return EXIT_FAILURE
  }
}
