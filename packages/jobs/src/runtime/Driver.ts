import { Chart } from '@rattanstep/core'
import type { ChartFile, Row } from '@rattanstep/core'
import jobChart from '../charts/job.json' with { type: 'json' }
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import type { JobEvent, JobState } from '../types/job.js'
import { JOB_ROW, jobKey, OPEN_ROW, openKey, TASK_ROW } from '../types/rows.js'
import type { JobRow, TaskRow } from '../types/rows.js'
import { parseRow } from '../utils/parseRow.js'
import type { Placer, Versioned } from './Placer.js'
import { agedPriority, planJob } from './planJob.js'
import type { Plan } from './planJob.js'
import { driverOf } from './Messenger.js'
import type { Messenger } from './Messenger.js'
import type { TableWriter } from './TableWriter.js'
import type { TransitionWriter } from './TransitionWriter.js'

/** State machine of a job. */
export const JOB_CHART = new Chart<JobState, JobEvent>(jobChart as ChartFile)

const OPEN_PREFIX = 'open/'
const MAX_DOUBLINGS = 10
const MAX_PLACEMENT_DELAY_MS = 2000

/** Number of placement attempts that avoid the workers on which a task has failed; later attempts accept any worker. */
const MAX_AVOIDING_ATTEMPTS = 4

interface PlacementAttempts {
  /** Number of attempts since the job last got all the capacity that it asked for. */
  count: number
  /** Time of `clock.now()` before which no further attempt is made. */
  retryAt: number
}

/**
 * Drives the jobs that rendezvous hashing assigns to this node: places their tasks, applies cancellations to the tasks and
 * writes the final states of the jobs.
 */
export class Driver {
  private readonly context: Context
  private readonly writer: TableWriter
  private readonly transitions: TransitionWriter
  private readonly placer: Placer
  private readonly messenger: Messenger
  private readonly reconciling = new Set<string>()
  /** Jobs that changed while they were being reconciled. */
  private readonly changedJobs = new Set<string>()
  private readonly placementAttempts = new Map<string, PlacementAttempts>()
  /** Index of the open job with which the next reconciliation begins. */
  private nextJobIndex = 0

  /** @param options - shared dependencies */
  constructor (options: { context: Context, writer: TableWriter, transitions: TransitionWriter, placer: Placer, messenger: Messenger }) {
    this.context = options.context
    this.writer = options.writer
    this.transitions = options.transitions
    this.placer = options.placer
    this.messenger = options.messenger
  }

  /** Reconciles the open jobs that this node drives; when there are more than `maxJobsPerDrive`, the next ones in turn. */
  async reconcileOpenJobs (): Promise<void> {
    const { table, tuning } = this.context
    const rows = await table.list({ prefix: OPEN_PREFIX, limit: tuning.maxOpenJobs })
    if (rows.isErr()) return
    const jobs = rows.value.filter(row => this.isDrivenHere(jobIdOf(row)))
    this.dropClosedJobs(new Set(jobs.map(jobIdOf)))
    const count = Math.min(jobs.length, tuning.maxJobsPerDrive)
    const selected = Array.from({ length: count }, (_, offset) => jobs[(this.nextJobIndex + offset) % jobs.length]!)
    this.nextJobIndex = jobs.length === 0 ? 0 : (this.nextJobIndex + count) % jobs.length
    const ranked = selected.map(row => ({ name: jobIdOf(row), priority: this.readPriority(row) })).sort((a, b) => b.priority - a.priority)
    await Promise.all(ranked.map(async job => { await this.reconcile(job.name) }))
  }

  private readPriority (row: Row): number {
    const content = parseRow(row, OPEN_ROW)
    if (content.isErr()) return 0
    const jobClass = this.context.classes().find(entry => entry.name === content.value.class)
    return jobClass === undefined ? 0 : agedPriority(jobClass, this.context.clock.wall() - content.value.submitted)
  }

  /**
   * Plans and applies the next actions for a job. Does nothing when another node drives the job. When the job is already
   * being reconciled, it is reconciled once more afterwards.
   *
   * @param job - identifier of the job
   */
  async reconcile (job: string): Promise<void> {
    if (!this.isDrivenHere(job)) return
    if (this.reconciling.has(job)) {
      this.changedJobs.add(job)
      return
    }
    this.reconciling.add(job)
    try {
      do {
        this.changedJobs.delete(job)
        const plan = await this.readPlan(job)
        if (plan !== null) await this.applyPlan(plan)
      } while (this.changedJobs.has(job))
    } finally {
      this.reconciling.delete(job)
    }
  }

  /**
   * Reconciles a job whose tasks have changed, without waiting for the delay after its last placement attempt.
   *
   * @param job - identifier of the job
   */
  async reconcileNow (job: string): Promise<void> {
    const attempt = this.placementAttempts.get(job)
    if (attempt !== undefined) attempt.retryAt = this.context.clock.now()
    await this.reconcile(job)
  }

  private isDrivenHere (job: string): boolean {
    return driverOf(job, this.context.holders()) === this.context.self
  }

  private async readPlan (id: string): Promise<Plan | null> {
    const { table, tuning } = this.context
    const jobRows = await table.read([jobKey(id)])
    const taskRows = await table.list({ prefix: `task/${id}/`, limit: tuning.maxTasksPerJob })
    if (jobRows.isErr() || taskRows.isErr()) return null
    const job = jobRows.value[0] === undefined ? null : this.parseVersioned(jobRows.value[0], JOB_ROW)
    const tasks = taskRows.value.flatMap(row => this.parseVersioned(row, TASK_ROW) ?? [])
    if (job === null || tasks.length !== job.content.count) return null
    return planJob(job, tasks, this.context)
  }

  private parseVersioned<T extends JobRow | TaskRow> (row: Row, schema: Parameters<typeof parseRow<T>>[1]): Versioned<T> | null {
    const content = parseRow(row, schema)
    if (content.isOk()) return { version: row.version, content: content.value }
    this.context.log.write(EVENTS.badRow, { key: row.key, problem: content.error })
    return null
  }

  private async applyPlan (plan: Plan): Promise<void> {
    if (plan.endEvent !== null) return await this.closeJob(plan.job, plan.endEvent)
    if (plan.transitions.length > 0) await this.applyTransitions(plan)
    if (plan.parkReason !== '') this.context.log.write(EVENTS.parked, { job: plan.job.content.id, reason: plan.parkReason })
    await this.placeUnits(plan)
  }

  private async applyTransitions (plan: Plan): Promise<void> {
    await this.transitions.apply(plan.transitions)
    if (plan.changedWorkers.length === 0) return
    for (const holder of this.context.holders()) this.messenger.send(holder, 'stirred', { workers: plan.changedWorkers })
  }

  private async placeUnits (plan: Plan): Promise<void> {
    const { id } = plan.job.content
    const now = this.context.clock.now()
    if (plan.units.length === 0 || (this.placementAttempts.get(id)?.retryAt ?? now) > now) return
    const failedAttempts = this.placementAttempts.get(id)?.count ?? 0
    const { reservesCapacity, priority } = plan
    const placementOptions = { reservesCapacity, priority, avoidsFailedWorkers: failedAttempts < MAX_AVOIDING_ATTEMPTS, preemptsBelow: failedAttempts > 0 ? plan.preemptsBelow : null }
    let wanted = 0
    let held = 0
    for (const unit of plan.units) {
      const outcome = await this.placer.place({ ...unit, ...placementOptions })
      wanted += unit.tasks.length
      held += outcome.held
      if (outcome.placed.length > 0) this.context.log.write(EVENTS.placed, { job: id, placements: outcome.placed, age: plan.age })
      if (outcome.placed.length < unit.tasks.length) break
    }
    this.scheduleRetry(plan, wanted, held)
  }

  /** The delay shrinks with the age of the job, so that an old gang retries sooner than a young one. */
  private scheduleRetry (plan: Plan, wanted: number, held: number): void {
    const { clock, log, random, tuning } = this.context
    const { id } = plan.job.content
    if (held >= wanted) {
      this.placementAttempts.delete(id)
      return
    }
    const count = (this.placementAttempts.get(id)?.count ?? 0) + 1
    const backoff = Math.min(tuning.minBackoff * 2 ** Math.min(count, MAX_DOUBLINGS), MAX_PLACEMENT_DELAY_MS)
    const jittered = random.jitter(backoff / (1 + plan.age / tuning.gangReservationAge))
    // Owners drop the reservation of a job that does not repeat its request in time.
    const delay = plan.reservesCapacity ? Math.min(jittered, tuning.holdDuration / 2) : jittered
    this.placementAttempts.set(id, { count, retryAt: clock.now() + delay })
    log.write(EVENTS.unplaced, { job: id, wanted, held, delay: Math.round(delay) })
  }

  private async closeJob (job: Versioned<JobRow>, endEvent: JobEvent): Promise<void> {
    const state = JOB_CHART.next(job.content.state, endEvent)
    if (state === null) return
    const { id } = job.content
    const settlement = await this.writer.write({
      checks: [{ key: jobKey(id), version: job.version }],
      writes: [{ key: jobKey(id), value: JSON.stringify({ ...job.content, state }) }, { key: openKey(id), value: null }]
    })
    if (settlement.outcome === 'committed') this.context.log.write(EVENTS.jobEnded, { job: id, state })
  }

  private dropClosedJobs (openJobs: Set<string>): void {
    for (const job of this.placementAttempts.keys()) {
      if (!openJobs.has(job)) this.placementAttempts.delete(job)
    }
  }
}

function jobIdOf (row: Row): string {
  return row.key.slice(OPEN_PREFIX.length)
}
