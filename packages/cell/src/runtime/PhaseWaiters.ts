import type { Clock } from '@rattanstep/core'
import type { JobState } from './model.js'

/**
 * Longest time for which the answer to a query waits for the end of a job. Callers that are told `running` ask again only after a few
 * hundred ms, while the end of the last run and its record take 30 to 60 ms to arrive.
 */
const MAX_WAIT_MS = 100

/** Lets queries for jobs that are about to end wait a moment for the end. */
export class PhaseWaiters {
  private readonly waiters = new Map<string, Array<() => void>>()

  constructor (private readonly clock: Clock) {}

  /** Waits until a job's end is visible, if it is expected soon. */
  async wait (job: JobState): Promise<void> {
    if (!mayEndSoon(job)) return
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

  /** Ends the waits for a job whose end is visible now. */
  release (job: JobState): void {
    const waiters = this.waiters.get(job.job.id) ?? []
    this.waiters.delete(job.job.id)
    for (const waiter of waiters) waiter()
  }
}

/** @returns whether the job's end is being recorded, or all its tasks are done or run */
function mayEndSoon (job: JobState): boolean {
  if (job.visiblePhase !== 'running') return false
  if (job.phase !== 'open') return true
  return job.occurrences.every(({ steps }) => steps.every(step => !step.definition.lasting && step.tasks.every(task => task.phase === 'done' || task.phase === 'running')))
}
