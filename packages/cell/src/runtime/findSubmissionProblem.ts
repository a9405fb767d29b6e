import { fitsUnderCap } from '@rattanstep/policy'
import type { JobSubmission } from '../types/callers.js'
import type { OrganisationTerms } from '../types/configuration.js'
import { countTasks } from './countTasks.js'

/** Maximum number of tasks in an occurrence of a job. A decider holds a mark for each that is done, and its record lists them. */
export const MAX_TASKS = 10_000
/** Maximum number of tasks in the gangs of a job. All of a gang run together, and their record must fit into one transaction, also after two crashes each. */
export const MAX_GANG_TASKS = 4000

/**
 * @param submission - what a caller submits
 * @param organisation - organisation of the caller, if the configuration names any
 * @returns why the job can't be served, or `undefined` if it can
 */
export function findSubmissionProblem ({ steps, repeat }: JobSubmission, organisation?: OrganisationTerms): string | undefined {
  const tasks = countTasks(steps)
  if (tasks > MAX_TASKS) return `the steps have ${tasks} tasks, more than ${MAX_TASKS}`
  const gangTasks = countTasks(steps.filter(({ gang }) => gang))
  if (gangTasks > MAX_GANG_TASKS) return `the gangs have ${gangTasks} tasks, more than ${MAX_GANG_TASKS}`
  if (organisation !== undefined) {
    const { cap } = organisation
    const tooLarge = steps.findIndex(({ size, count, gang }) => !fitsUnderCap(size, gang ? count : Math.min(count, 1), cap))
    if (tooLarge >= 0) return `step ${tooLarge} can never run: ${steps[tooLarge]!.gang ? 'its tasks together need' : 'one of its tasks needs'} more than the cap of the organisation, ${cap.cpu} thousandths of a core, ${cap.memory} MB and ${cap.accelerators} accelerators (0: no limit)`
  }
  if (repeat === undefined) return undefined
  if (!Number.isSafeInteger(repeat.count)) return `the number of occurrences, ${repeat.count}, is not a whole number`
  if (repeat.interval < 0) return `the interval between occurrences, ${repeat.interval} ms, is negative`
  return undefined
}
