import type { FakeClock } from '@rattanstep/core'
import type { Work } from '../types/work.js'
import type { WorkerPool } from './WorkerPool.js'
import type { Recorder } from './Recorder.js'

/** Dependencies of every scheduler. */
export interface SchedulerOptions {
  clock: FakeClock
  pool: WorkerPool
  recorder: Recorder
}

/** One-way delay of a message. */
export const MESSAGE_DELAY_MS = 1

/** A scheduler, which decides where and when work runs. */
export abstract class Scheduler {
  protected readonly clock: FakeClock
  protected readonly pool: WorkerPool
  protected readonly recorder: Recorder

  /** @param options - clock, workers and recorder */
  constructor (options: SchedulerOptions) {
    this.clock = options.clock
    this.pool = options.pool
    this.recorder = options.recorder
  }

  /** @param work - an item that arrives now */
  abstract submit (work: Work): void

  /** @param work - an item whose caller withdraws it while it waits */
  abstract withdraw (work: Work): void
}
