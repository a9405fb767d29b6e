import type { Clock } from '@rattanstep/core'
import type { JobState } from './model.js'
import { hasRemaining } from './Schedule.js'

/**
 * Longest time for which the answer to a query waits for the end of a job. Callers that are told `running` ask again only after a few
 * hundred ms, while the end of the last run and its record take 30 to 60 ms to arrive.
 */
const MAX_WAIT_MS = 100

/** Lets queries for jobs that are about to end, or whose record is being written, wait a moment for the new phase. */
export class PhaseWaiters {
  private readonly waiters = new Map<string, Array<() => void>>()

  constructor (private readonly clock: Clock) {}

  /** Waits until a job's next phase is visible, if it is expected soon. `isChanging`: whether the next phase is being recorded. */
  async wait (job: JobState, isChanging: boolean): Promise<void> {
    if (!isChanging && !mayEndSoon(job)) return
    const { id } = job.job
    await new Promise<void>(resolve => {
      const timer = this.clock.schedule(MAX_WAIT_MS, resolve)
      const waiter = (): void => {
        timer.cancel()
        resolve()
      }
      const present = this.waiters.get(id)
      if (present === undefined) this.waiters.set(id, [waiter])
      else present.push(waiter)
    })
  }

  /** Ends the waits for a job whose new phase is visible now. */
  release (id: string): void {
    const waiters = this.waiters.get(id) ?? []
    this.waiters.delete(id)
    for (const waiter of waiters) waiter()
  }
}

/** @returns whether the job has ended and this is not visible yet, or all its tasks are done or run */
function mayEndSoon (job: JobState): boolean {
  if (job.visiblePhase !== 'running') return false
  if (job.phase !== 'open') return true
  return !hasRemaining(job) && job.occurrences.every(({ steps }) => steps.every(step => !step.definition.lasting && step.tasks.every(task => task.phase === 'done' || task.phase === 'running')))
}
