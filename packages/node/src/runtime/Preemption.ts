import type { Clock, Instance, Timer } from '@rattanstep/core'
import type { PreemptionDemand } from '@rattanstep/policy'
import type { ResolvedClass } from '@rattanstep/rules'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

const CHECK_INTERVAL_MS = 100

/**
 * A task that was told to leave releases its slot within this time. Until then its slot counts as freed, so that no
 * further task is told to leave for the same slot.
 */
const SLOT_RELEASE_MS = 1500

/** The fields of a task by which preemption selects it. */
export interface PreemptibleTask {
  job: string
  index: number
  class: string
}

/** Options of preemption. */
export interface PreemptionOptions {
  clock: Clock
  log: Log
  /** Slots that waiting work is short of, or `null` if no waiting work may preempt. */
  pressure: () => PreemptionDemand | null
  classes: () => ResolvedClass[]
  /** Workers that this node owns. */
  workers: () => Instance[]
  /** Tells the chosen tasks to leave a worker. Resolves with the number of tasks told. */
  vacate: (worker: Instance, choose: (task: PreemptibleTask) => boolean) => Promise<number>
}

/** Frees slots for urgent work at peak load: tasks of lower classes write a checkpoint, stop, and are placed again later. */
export class Preemption {
  private timer: Timer | null = null
  private vacatedAt: number[] = []
  private isVacating = false

  /** @param options - pressure of waiting work, classes, and the workers to vacate */
  constructor (private readonly options: PreemptionOptions) {}

  /** Starts the periodic check. */
  start (): void {
    this.timer = this.options.clock.repeat(CHECK_INTERVAL_MS, () => { this.freeMissingSlots() })
  }

  /** Stops the periodic check. */
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

  private async freeSlots (pressure: PreemptionDemand, slots: number): Promise<void> {
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
