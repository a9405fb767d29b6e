import type { CapBudget } from '@rattanstep/policy'
import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'
import type { Job } from '../types/job.js'
import type { StepState } from '../runtime/model.js'

/** Minimum time between two lines about the same limit of an organisation. */
const REPORT_INTERVAL_MS = 10_000

/** Reports organisations that have reached their cap or their rate, with at most one line for each limit and organisation in ten seconds. */
export class OrganisationMonitor {
  /** Jobs beyond the rate since the last line, by organisation. */
  private readonly beyondRate = new Map<string, number>()
  /** Monotonic ms from which the next line may be written, by event and organisation. */
  private readonly nextReportAt = new Map<string, number>()

  constructor (private readonly options: { clock: Clock, log: Log }) {}

  /** Counts a job that was submitted beyond the rate of its organisation. */
  noteBeyondRate (organisation: string): void {
    this.beyondRate.set(organisation, (this.beyondRate.get(organisation) ?? 0) + 1)
  }

  /**
   * Writes the lines that are due.
   *
   * @param readySteps - steps that have waiting tasks and whose earlier steps are done
   * @param capBudgetOf - returns what is left of the cap of a job's organisation
   */
  check (readySteps: Iterable<StepState>, capBudgetOf: (job: Job) => CapBudget | undefined): void {
    const { log } = this.options
    const atCap = new Map<string, number>()
    for (const { definition: { size, gang, count }, occurrence: { job: { job } } } of readySteps) {
      if (job.organisation === undefined) continue
      const budget = capBudgetOf(job)
      if (budget !== undefined && budget.countFitting(size) < (gang ? count : 1)) atCap.set(job.organisation, (atCap.get(job.organisation) ?? 0) + 1)
    }
    for (const [organisation, steps] of atCap) if (this.mayReport('cap', organisation)) log.write(CELL_EVENTS.organisationAtCap, { organisation, steps })
    for (const [organisation, jobs] of this.beyondRate) {
      if (!this.mayReport('rate', organisation)) continue
      log.write(CELL_EVENTS.organisationBeyondRate, { organisation, jobs })
      this.beyondRate.delete(organisation)
    }
  }

  private mayReport (limit: 'cap' | 'rate', organisation: string): boolean {
    const key = `${limit} ${organisation}`
    const now = this.options.clock.now()
    if (now < (this.nextReportAt.get(key) ?? 0)) return false
    this.nextReportAt.set(key, now + REPORT_INTERVAL_MS)
    return true
  }
}
