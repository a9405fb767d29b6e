import { Rate } from '@rattanstep/policy'
import type { BacklogReport } from '@rattanstep/policy'
import type { ScheduledRoute } from '../types/configuration.js'
import type { Job } from '../types/job.js'
import type { Registry } from './Registry.js'
import type { Placement } from './planRound.js'

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
  private last: { report: BacklogReport | undefined, at: number } | undefined

  constructor (private readonly registry: Pick<Registry, 'readySteps' | 'workers'>) {}

  /** Records the placements of a round; `now`: monotonic ms. */
  addPlacements (placements: Placement[], now: number): void {
    this.startedAt ??= now
    for (const { task: { step: { definition } } } of placements) this.rate.add(definition.size.cpu * definition.estimate / 1e6, now)
  }

  /**
   * @param options - `now`: monotonic ms; `routeOf`: returns the route of a job; `leastUrgent`: least urgent priority that is configured
   * @returns the report, or `undefined` while too little has been measured
   */
  report ({ now, routeOf, leastUrgent }: { now: number, routeOf: (job: Job) => ScheduledRoute | undefined, leastUrgent: number }): BacklogReport | undefined {
    if (this.last === undefined || now - this.last.at >= REPORT_INTERVAL_MS) this.last = { report: this.measure(now, routeOf, leastUrgent), at: now }
    return this.last.report
  }

  private measure (now: number, routeOf: (job: Job) => ScheduledRoute | undefined, leastUrgent: number): BacklogReport | undefined {
    if (this.startedAt === undefined || now - this.startedAt < MIN_MEASURING_MS) return undefined
    const waiting: number[] = Array.from({ length: leastUrgent + 1 }, () => 0)
    for (const { definition, occurrence, tasks } of this.registry.readySteps) {
      const priority = Math.min(leastUrgent, routeOf(occurrence.job.job)?.priority ?? 0)
      for (const { phase } of tasks) if (phase === 'waiting') waiting[priority]! += definition.size.cpu * definition.estimate / 1e6
    }
    // While little is started because much long work runs, the work that runs shows the rate.
    let used = 0
    for (const worker of this.registry.workers.values()) used += worker.used.cpu / 1000
    return { waiting: waiting.map(Math.round), rate: Math.round(Math.max(used, 1000 * this.rate.perMillisecond(now))), leastUrgent, beyondRate: [] }
  }
}
