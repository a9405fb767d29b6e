import type { FakeClock } from '@rattanstep/core'
import type { Work } from '../types/work.js'
import type { Recorder } from './Recorder.js'

/** Time after which a failing worker reports an error. */
const FAILURE_TIME_MS = 5

/** Interval between checkpoints of a task. The cost of a checkpoint is not simulated. */
const CHECKPOINT_INTERVAL_MS = 1000

/** One simulated worker. */
export interface Machine {
  id: string
  slots: number
  /** Number of slots in use. */
  busy: number
  /** Whether all work on this worker fails. */
  failing: boolean
}

/** The simulated workers of one cell. */
export class WorkerPool {
  readonly machines: Machine[] = []
  private readonly clock: FakeClock
  private readonly recorder: Recorder

  /** @param options - clock, recorder, number of workers and slots of each */
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
   * @param machine - worker to run it on
   * @param onEnd - called when the work has ended
   * @returns a handle that stops the work, which loses its progress since the last checkpoint
   * @throws Error when the worker has no free slot
   */
  run (work: Work, machine: Machine, onEnd: (succeeded: boolean) => void): { stop: () => void } {
    if (machine.busy >= machine.slots) throw new Error(`worker ${machine.id} has no free slot: all ${machine.slots} are in use`)
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
