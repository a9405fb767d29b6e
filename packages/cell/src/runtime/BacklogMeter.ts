import { Rate } from '@rattanstep/policy'
import type { BacklogReport } from '@rattanstep/policy'
import type { Registry } from './Registry.js'
import type { Placement } from './planRound.js'
import type { RankedStep } from './rankSteps.js'

/** Time constant of the measured start rate in ms: a few durations of usual tasks. */
const RATE_TIME_CONSTANT_MS = 5000
/** Time for which the start rate must have been measured before it is reported. */
const MIN_MEASURING_MS = 10_000
/** Time for which a report is reused: each of many followers gets one with its heartbeat. */
const REPORT_INTERVAL_MS = 100

/** Measures the work that waits at a decider, and the rate at which it is started. */
export class BacklogMeter {
  private readonly rate = new Rate(RATE_TIME_CONSTANT_MS)
  private startedAt: number | undefined
  private ranked: RankedStep[] = []
  private last: { report: BacklogReport | undefined, at: number } | undefined

  constructor (private readonly registry: Pick<Registry, 'workers'>) {}

  /** Records a round of planning; `ranked`: the steps that waited before it; `now`: monotonic ms. */
  addRound (ranked: RankedStep[], placements: Placement[], now: number): void {
    this.startedAt ??= now
    this.ranked = ranked
    for (const { task: { step: { definition } } } of placements) this.rate.add(definition.size.cpu * definition.estimate / 1e6, now)
  }

  /**
   * @param options - `now`: monotonic ms; `leastUrgent`: least urgent priority that is configured
   * @returns the report, or `undefined` while too little has been measured
   */
  report ({ now, leastUrgent }: { now: number, leastUrgent: number }): BacklogReport | undefined {
    if (this.last === undefined || now - this.last.at >= REPORT_INTERVAL_MS) this.last = { report: this.measure(now, leastUrgent), at: now }
    return this.last.report
  }

  private measure (now: number, leastUrgent: number): BacklogReport | undefined {
    if (this.startedAt === undefined || now - this.startedAt < MIN_MEASURING_MS) return undefined
    const waiting: number[] = Array.from({ length: leastUrgent + 1 }, () => 0)
    for (const { step: { definition, tasks }, route, lateness } of this.ranked) {
      // Late work goes behind work that can be in time, so that new jobs don't wait for it.
      if (lateness > 0) continue
      const priority = Math.min(leastUrgent, route.priority)
      waiting[priority]! += tasks.countWaiting() * definition.size.cpu * definition.estimate / 1e6
    }
    // While little is started because much long work runs, the work that runs shows the rate.
    let used = 0
    for (const worker of this.registry.workers.values()) used += worker.used.cpu / 1000
    return { waiting: waiting.map(Math.round), rate: Math.round(Math.max(used, 1000 * this.rate.perMillisecond(now))), leastUrgent, beyondRate: [] }
  }
}
