import type { Clock, Random } from '@rattanstep/core'
import { judgeBacklog } from '@rattanstep/policy'
import type { BacklogRefusal, BacklogReport } from '@rattanstep/policy'
import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'
import type { RouteTerms } from '../types/configuration.js'
import type { Job } from '../types/job.js'
import { chainLength } from './chainLength.js'
import { MAX_USEFUL_OBJECTIVE_RATIO, objectiveSpan } from './rankSteps.js'

/** The last report of the decider's backlog, and the monotonic ms at which it arrived. */
export interface ReceivedBacklog {
  report: BacklogReport
  at: number
}

/** Refuses jobs that would end too late to be of any use, by the last report of the decider's backlog. */
export class AdmissionGate {
  /** Number of refusals by priority and organisation, as in `2 name`. */
  readonly refusals = new Map<string, number>()

  constructor (private readonly options: { clock: Clock, log: Log, random: Random, lastReport: () => ReceivedBacklog | undefined }) {}

  /** @returns the refusal of a job, or `undefined` to accept it */
  judge (job: Job): BacklogRefusal | undefined {
    const received = this.options.lastReport()
    const { terms } = job
    // Scheduled jobs run later, when the backlog is another one.
    if (received === undefined || terms === undefined || job.repeat !== undefined || job.steps.some(step => step.lasting)) return undefined
    const age = this.options.clock.now() - received.at
    return judgeBacklog(describeJob(job, terms), received.report, { age, random: this.options.random })
  }

  /** Counts and logs a refusal that was answered. */
  note ({ id, organisation = '', terms }: Job, { backlog, projected, retryAfter }: BacklogRefusal): void {
    const key = `${terms?.priority ?? 0} ${organisation}`
    this.refusals.set(key, (this.refusals.get(key) ?? 0) + 1)
    const received = this.options.lastReport()
    this.options.log.write(CELL_EVENTS.jobRefused, { job: id, priority: terms?.priority ?? 0, backlog, rate: received?.report.rate ?? 0, projected: Math.round(projected), retryAfter, age: Math.round(this.options.clock.now() - (received?.at ?? 0)) })
  }
}

/** @returns a job as it is judged by the backlog */
export function describeJob ({ steps, organisation }: Job, terms: RouteTerms): Parameters<typeof judgeBacklog>[0] {
  return { priority: terms.priority, organisation, duration: chainLength(steps, 0), usefulFor: MAX_USEFUL_OBJECTIVE_RATIO * objectiveSpan(steps, terms) }
}
