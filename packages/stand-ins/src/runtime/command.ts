/** Result of parsing a task's command. */
export interface ParsedCommand {
  /** Run time at full speed in ms; `Infinity` for a service. */
  work: number
  /** State in which the task ends. */
  outcome: 'done' | 'failed'
}

/** Run time of a task whose command is not recognised. */
const DEFAULT_WORK_MS = 100

/**
 * Parses `run MS`, `fail`, `fail MS` and `serve`.
 *
 * @param command - command of a task
 * @returns run time and outcome; a task with any other command runs for 100 ms and succeeds
 */
export function parseCommand (command: string): ParsedCommand {
  const [verb, argument] = command.trim().split(/\s+/)
  const duration = Number(argument)
  const work = argument !== undefined && duration >= 0 ? duration : null
  if (verb === 'serve') return { work: Infinity, outcome: 'done' }
  if (verb === 'fail') return { work: work ?? 0, outcome: 'failed' }
  return { work: verb === 'run' && work !== null ? work : DEFAULT_WORK_MS, outcome: 'done' }
}
