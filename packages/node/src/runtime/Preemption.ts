import type { Clock, Instance, Timer } from '@rattanstep/core'
import type { PreemptionDemand } from '@rattanstep/policy'
import type { ResolvedClass } from '@rattanstep/rules'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

/** Milliseconds between looks at what waits. */
const LOOK_MS = 100

/** Milliseconds in which a task told to leave gives its slot back; it is not asked for twice. */
const LEAVING_MS = 1500

/** A task as preemption sees it. */
export interface PreemptibleTask {
  job: string
  index: number
  class: string
}

/** What preemption is made of. */
export interface PreemptionOptions {
  clock: Clock
  log: Log
  /** What room waiting work lacks, if it may preempt. */
  pressure: () => PreemptionDemand | null
  classes: () => ResolvedClass[]
  /** Workers that this node owns. */
  workers: () => Instance[]
  /** Moves tasks off a worker; gives the number of tasks told to go. */
  vacate: (worker: Instance, choose: (task: PreemptibleTask) => boolean) => Promise<number>
}

/** Makes room for urgent work at the crest: tasks of lower classes write a checkpoint, stop, and are placed again later. */
export class Preemption {
  private timer: Timer | null = null
  private leaving: number[] = []
  private working = false

  /** @param options - who waits, and what may be moved */
  constructor (private readonly options: PreemptionOptions) {}

  /** Starts to look. */
  start (): void {
    this.timer = this.options.clock.repeat(LOOK_MS, () => { this.look() })
  }

  /** Ends the looks. */
  stop (): void {
    this.timer?.cancel()
  }

  private look (): void {
    const pressure = this.options.pressure()
    if (pressure === null || this.working) return
    if (pressure.preempts !== 'checkpoint' && pressure.preempts !== 'stop') return
    const now = this.options.clock.now()
    this.leaving = this.leaving.filter(since => now - since < LEAVING_MS)
    const missing = pressure.slots - this.leaving.length
    if (missing <= 0) return
    this.working = true
    this.free(pressure, missing).finally(() => { this.working = false })
  }

  private async free (pressure: PreemptionDemand, slots: number): Promise<void> {
    let missing = slots
    for (const { name } of this.lowerClasses(pressure.priority)) {
      for (const worker of this.options.workers()) {
        if (missing <= 0) return
        missing -= await this.freeAt(worker, name, missing, pressure.priority)
      }
    }
  }

  private async freeAt (worker: Instance, className: string, most: number, priority: number): Promise<number> {
    const { clock, log, vacate } = this.options
    let left = most
    const told = await vacate(worker, task => task.class === className && left-- > 0)
    for (let task = 0; task < told; task++) this.leaving.push(clock.now())
    if (told > 0) log.write(EVENTS.preempted, { worker: worker.id, class: className, tasks: told, priority })
    return told
  }

  private lowerClasses (priority: number): ResolvedClass[] {
    return this.options.classes()
      .filter(entry => entry.kind !== 'request' && entry.priority < priority)
      .sort((a, b) => a.priority - b.priority)
  }
}
