import type { Crash, Task } from './model.js'

/** Number of crashes of workers on which only its job ran after which a task is given up: at once if they are confirmed. */
const MAX_CRASHES_ALONE = 2
/** Number of crashes in all after which it is given up if some of these are only presumed. */
const MAX_CRASHES = 3
/** Number of crashes after which it is given up although other jobs ran on the workers. The platform allows one more start. */
const MAX_SHARED_CRASHES = 4

/**
 * - `clear`: no worker is known to have crashed under the task
 * - `suspect`: the task may have crashed a worker; the next run has to show it
 * - `exhausted`: the task crashes its workers and must not be started again
 */
export type CrashVerdict = 'clear' | 'suspect' | 'exhausted'

/**
 * Decides from its crashes whether a task may be started again. A worker on which other jobs ran too proves nothing on its own, since one of
 * these may have crashed it.
 *
 * @param crashes - crashes of workers under the task
 * @returns the verdict
 */
export function judgeCrashes (crashes: readonly Crash[]): CrashVerdict {
  const counted = crashes.filter(isCounted)
  if (counted.length === 0) return 'clear'
  if (counted.length >= MAX_SHARED_CRASHES) return 'exhausted'
  const alone = counted.filter(crash => crash.isAlone)
  const isProven = alone.filter(crash => crash.certainty === 'confirmed').length >= MAX_CRASHES_ALONE
  return isProven || (alone.length >= MAX_CRASHES_ALONE && counted.length >= MAX_CRASHES) ? 'exhausted' : 'suspect'
}

/** @returns whether a crash counts towards the budget of its task */
export function isCounted ({ certainty }: Crash): boolean {
  return certainty === 'presumed' || certainty === 'confirmed'
}

/** @returns the number of crashes that count towards the task's budget */
export function countCrashes ({ crashes }: Pick<Task, 'crashes'>): number {
  return crashes.filter(isCounted).length
}

/** Number of distinct tags; two incarnations of one worker share a tag only if they start exactly a multiple of 100 s apart. */
const TAG_COUNT = 100_000

/**
 * @param born - start of a worker's incarnation, ms since 1970, or 0 if it is not known
 * @returns a short tag of the incarnation for job records, or 0 if the incarnation is not known
 */
export function incarnationTag (born: number): number {
  return born === 0 ? 0 : 1 + born % TAG_COUNT
}
