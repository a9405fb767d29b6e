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
  private readonly waiters = new Map<string, Set<() => void>>()

  private count = 0

  /** @param options - `maxWaiting`: number of queries that may wait; further ones are answered at once; `onFull`: called for each of these */
  constructor (private readonly clock: Clock, private readonly options: { maxWaiting?: number, onFull?: () => void } = {}) {}

  /** Waits until a job's next phase is visible, if it is expected soon. `isChanging`: whether the next phase is being recorded. */
  async wait (job: JobState, isChanging: boolean): Promise<void> {
    const { maxWaiting = Infinity, onFull } = this.options
    if (!isChanging && !mayEndSoon(job)) return
    if (this.count >= maxWaiting) {
      onFull?.()
      return
    }
    const { id } = job.job
    await new Promise<void>(resolve => {
      const waiter = (): void => {
        timer.cancel()
        this.remove(id, waiter)
        resolve()
      }
      const timer = this.clock.schedule(MAX_WAIT_MS, waiter)
      this.count++
      const present = this.waiters.get(id)
      if (present === undefined) this.waiters.set(id, new Set([waiter]))
      else present.add(waiter)
    })
  }

  /** @returns number of queries that wait */
  get size (): number {
    return this.count
  }

  private remove (id: string, waiter: () => void): void {
    const waiters = this.waiters.get(id)
    if (waiters?.delete(waiter) === true) this.count--
    if (waiters?.size === 0) this.waiters.delete(id)
  }

  /** Ends the waits for a job whose new phase is visible now. */
  release (id: string): void {
    for (const waiter of [...this.waiters.get(id) ?? []]) waiter()
  }
}

/** @returns whether the job has ended and this is not visible yet, or all its tasks are done or run */
function mayEndSoon (job: JobState): boolean {
  if (job.visiblePhase !== 'running') return false
  if (job.phase !== 'open') return true
  return !hasRemaining(job) && job.occurrences.every(({ steps }) => steps.every(step => !step.definition.lasting && step.tasks.areAllStarted))
}
