/** What a stand-in worker does for a task's command. */
export interface ParsedCommand {
  /** Milliseconds at full speed until the task ends; infinite for a service. */
  work: number
  outcome: 'done' | 'failed'
}

/** Milliseconds that a task without a known command runs. */
const DEFAULT_WORK_MS = 100

/**
 * Understands `run MS`, `fail`, `fail MS` and `serve`.
 *
 * @param command - text of the command
 * @returns what to do; other text runs for 100 ms
 */
export function parseCommand (command: string): ParsedCommand {
  const [verb, argument] = command.trim().split(/\s+/)
  const duration = Number(argument)
  const work = argument !== undefined && duration >= 0 ? duration : null
  if (verb === 'serve') return { work: Infinity, outcome: 'done' }
  if (verb === 'fail') return { work: work ?? 0, outcome: 'failed' }
  return { work: verb === 'run' && work !== null ? work : DEFAULT_WORK_MS, outcome: 'done' }
}
