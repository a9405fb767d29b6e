import type { Clock, Instance, Timer } from '@rattanstep/core'
import type { Pressure } from '@rattanstep/policy'
import type { ResolvedClass } from '@rattanstep/rules'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

/** Milliseconds between looks at what waits. */
const CHECK_INTERVAL_MS = 100

/** Milliseconds in which a task told to leave gives its slot back; it is not asked for twice. */
const SLOT_RELEASE_MS = 1500

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
  pressure: () => Pressure | null
  classes: () => ResolvedClass[]
  /** Workers that this node owns. */
  workers: () => Instance[]
  /** Moves tasks off a worker; gives the number of tasks told to go. */
  vacate: (worker: Instance, choose: (task: PreemptibleTask) => boolean) => Promise<number>
}

/** Makes room for urgent work at the crest: tasks of lower classes write a checkpoint, stop, and are placed again later. */
export class Preemption {
  private timer: Timer | null = null
  private vacatedAt: number[] = []
  private isVacating = false

  /** @param options - who waits, and what may be moved */
  constructor (private readonly options: PreemptionOptions) {}

  /** Starts to look. */
  start (): void {
    this.timer = this.options.clock.repeat(CHECK_INTERVAL_MS, () => { this.freeMissingSlots() })
  }

  /** Ends the looks. */
  stop (): void {
    this.timer?.cancel()
  }

  private freeMissingSlots (): void {
    const pressure = this.options.pressure()
    if (pressure === null || this.isVacating) return
    if (pressure.preempts !== 'checkpoint' && pressure.preempts !== 'stop') return
    const now = this.options.clock.now()
    this.vacatedAt = this.vacatedAt.filter(since => now - since < SLOT_RELEASE_MS)
    const missing = pressure.slots - this.vacatedAt.length
    if (missing <= 0) return
    this.isVacating = true
    this.freeSlots(pressure, missing).finally(() => { this.isVacating = false })
  }

  private async freeSlots (pressure: Pressure, slots: number): Promise<void> {
    let missing = slots
    for (const { name } of this.lowerClasses(pressure.priority)) {
      for (const worker of this.options.workers()) {
        if (missing <= 0) return
        missing -= await this.freeSlotsAt(worker, name, missing, pressure.priority)
      }
    }
  }

  private async freeSlotsAt (worker: Instance, className: string, maxTasks: number, priority: number): Promise<number> {
    const { clock, log, vacate } = this.options
    let remaining = maxTasks
    const vacated = await vacate(worker, task => task.class === className && remaining-- > 0)
    for (let task = 0; task < vacated; task++) this.vacatedAt.push(clock.now())
    if (vacated > 0) log.write(EVENTS.preempted, { worker: worker.id, class: className, tasks: vacated, priority })
    return vacated
  }

  private lowerClasses (priority: number): ResolvedClass[] {
    return this.options.classes()
      .filter(entry => entry.kind !== 'request' && entry.priority < priority)
      .sort((a, b) => a.priority - b.priority)
  }
}
