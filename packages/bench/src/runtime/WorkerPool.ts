import type { FakeClock } from '@rattanstep/core'
import type { Work } from '../types/work.js'
import type { Recorder } from './Recorder.js'

/** Milliseconds after which a failing worker answers with an error. */
const FAILURE_TIME_MS = 5

/** Milliseconds between checkpoints of a task; their own cost is not simulated. */
const CHECKPOINT_INTERVAL_MS = 1000

/** One simulated worker. */
export interface Machine {
  id: string
  slots: number
  busy: number
  failing: boolean
}

/** The simulated workers of one cell. */
export class WorkerPool {
  readonly machines: Machine[] = []
  private readonly clock: FakeClock
  private readonly recorder: Recorder

  /** @param options - time, where to record, and the number and size of workers */
  constructor (options: { clock: FakeClock, recorder: Recorder, workers: number, slots: number }) {
    this.clock = options.clock
    this.recorder = options.recorder
    for (let index = 0; index < options.workers; index++) {
      this.machines.push({ id: `w${index}`, slots: options.slots, busy: 0, failing: false })
    }
  }

  /**
   * Runs work on a worker.
   *
   * @param work - what to run
   * @param machine - where
   * @param onEnd - called when the work has ended
   * @returns a handle that stops the work; progress since its last checkpoint is lost
   * @throws Error when the worker has no free slot
   */
  run (work: Work, machine: Machine, onEnd: (succeeded: boolean) => void): { stop: () => void } {
    if (machine.busy >= machine.slots) throw new Error(`${machine.id} was given more work than its ${machine.slots} slots`)
    const now = this.clock.now()
    machine.busy++
    this.recorder.start(work, now)
    const succeeded = !machine.failing
    const endAt = now + (succeeded ? work.remaining : FAILURE_TIME_MS)
    const stopAt = Math.min(endAt, Math.max(now, work.withdrawnAt))
    const timer = this.clock.schedule(stopAt - now, () => {
      machine.busy--
      if (stopAt < endAt) this.recorder.withdraw(work, this.clock.now())
      else this.recorder.end(work, this.clock.now(), succeeded)
      onEnd(succeeded)
    })
    return {
      stop: () => {
        timer.cancel()
        machine.busy--
        const ran = this.clock.now() - now
        work.remaining -= Math.floor(ran / CHECKPOINT_INTERVAL_MS) * CHECKPOINT_INTERVAL_MS
        this.recorder.preempt(work, this.clock.now(), ran % CHECKPOINT_INTERVAL_MS)
      }
    }
  }
}
