import { Builtins, Cli } from 'clipanion'
import type { BaseContext, CommandClass } from 'clipanion'
import { EXIT_USAGE_ERROR } from '../types/exitCode.js'
import { ApplyCommand } from './ApplyCommand.js'
import { CancelCommand } from './CancelCommand.js'
import { CheckCommand } from './CheckCommand.js'
import { DrainCommand } from './DrainCommand.js'
import { ExplainCommand } from './ExplainCommand.js'
import { ExplainJobCommand } from './ExplainJobCommand.js'
import { JobsCommand } from './JobsCommand.js'
import { LocalCommand } from './LocalCommand.js'
import { NodeCommand } from './NodeCommand.js'
import { ShowCommand } from './ShowCommand.js'
import { StatusCommand } from './StatusCommand.js'
import { SubmitCommand } from './SubmitCommand.js'

const VERSION = '0.1.0'

const COMMANDS: CommandClass[] = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  ApplyCommand,
  CancelCommand,
  CheckCommand,
  DrainCommand,
  ExplainCommand,
  ExplainJobCommand,
  JobsCommand,
  LocalCommand,
  NodeCommand,
  ShowCommand,
  StatusCommand,
  SubmitCommand
]

/**
 * Parses and runs one command line.
 *
 * @param args - arguments without the program name
 * @param context - streams and environment (default: those of the process)
 * @returns the exit code
 */
export async function runProgram (args: string[], context: Partial<BaseContext> = {}): Promise<number> {
  const fullContext = { ...Cli.defaultContext, ...context }
  const enableColors = 'isTTY' in fullContext.stdout && fullContext.stdout.isTTY === true
  const cli = Cli.from(COMMANDS, { binaryLabel: 'rattanstep, a cluster scheduler', binaryName: 'rattanstep', binaryVersion: VERSION, enableColors })
  try {
    const command = cli.process(args, fullContext)
    return await cli.run(command, fullContext)
  } catch (error) {
    fullContext.stderr.write(cli.error(error, { colored: false }))
    return EXIT_USAGE_ERROR
  }
}
