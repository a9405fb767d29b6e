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
import type { Post } from './Messenger.js'
import type { TableWriter } from './TableWriter.js'
import type { Transitions } from './TransitionWriter.js'

/** Chart of a job's life. */
export const JOB_CHART = new Chart<JobState, JobEvent>(jobChart as ChartFile)

const OPEN_PREFIX = 'open/'
const MAX_DOUBLINGS = 10
/** Longest delay before room is asked for again. */
const MAX_PLACE_DELAY_MS = 2000

/** Attempts in which a task is kept off workers that failed it; after them any worker will do. */
const AVOIDING_TRIES = 4

interface Attempt {
  tries: number
  at: number
}

/** Drives the jobs that fall to this node: places their tasks, passes cancellations on and writes how they end. */
export class Driver {
  private readonly context: Context
  private readonly writer: TableWriter
  private readonly transitions: Transitions
  private readonly placer: Placer
  private readonly post: Post
  private readonly busy = new Set<string>()
  /** Jobs that changed while they were being looked at. */
  private readonly again = new Set<string>()
  private readonly attempts = new Map<string, Attempt>()
  private next = 0

  /** @param options - what the driver works with */
  constructor (options: { context: Context, writer: TableWriter, transitions: Transitions, placer: Placer, post: Post }) {
    this.context = options.context
    this.writer = options.writer
    this.transitions = options.transitions
    this.placer = options.placer
    this.post = options.post
  }

  /** Looks at the open jobs that fall to this node, in turns when there are many. */
  async sweep (): Promise<void> {
    const { table, tuning } = this.context
    const rows = await table.list({ prefix: OPEN_PREFIX, limit: tuning.openJobs })
    if (rows.isErr()) return
    const jobs = rows.value.filter(row => this.isMine(nameOf(row)))
    this.forget(new Set(jobs.map(nameOf)))
    const count = Math.min(jobs.length, tuning.jobsPerDrive)
    const turn = Array.from({ length: count }, (_, offset) => jobs[(this.next + offset) % jobs.length]!)
    this.next = jobs.length === 0 ? 0 : (this.next + count) % jobs.length
    const ranked = turn.map(row => ({ name: nameOf(row), priority: this.rank(row) })).sort((a, b) => b.priority - a.priority)
    await Promise.all(ranked.map(async job => { await this.drive(job.name) }))
  }

  private rank (row: Row): number {
    const content = parseRow(row, OPEN_ROW)
    if (content.isErr()) return 0
    const rule = this.context.classes().find(entry => entry.name === content.value.class)
    return rule === undefined ? 0 : agedPriority(rule, this.context.clock.wall() - content.value.submitted)
  }

  /**
   * Looks at one job.
   *
   * @param job - identifier of the job
   */
  async drive (job: string): Promise<void> {
    if (!this.isMine(job)) return
    if (this.busy.has(job)) {
      this.again.add(job)
      return
    }
    this.busy.add(job)
    try {
      do {
        this.again.delete(job)
        const plan = await this.plan(job)
        if (plan !== null) await this.follow(plan)
      } while (this.again.has(job))
    } finally {
      this.busy.delete(job)
    }
  }

  /**
   * Looks at a job of which tasks have ended, without waiting out the delay since room was last asked for.
   *
   * @param job - identifier of the job
   */
  async driveAnew (job: string): Promise<void> {
    const attempt = this.attempts.get(job)
    if (attempt !== undefined) attempt.at = this.context.clock.now()
    await this.drive(job)
  }

  private isMine (job: string): boolean {
    return driverOf(job, this.context.holders()) === this.context.self
  }

  private async plan (id: string): Promise<Plan | null> {
    const { table, tuning } = this.context
    const jobRows = await table.read([jobKey(id)])
    const taskRows = await table.list({ prefix: `task/${id}/`, limit: tuning.tasksPerJob })
    if (jobRows.isErr() || taskRows.isErr()) return null
    const job = jobRows.value[0] === undefined ? null : this.parse(jobRows.value[0], JOB_ROW)
    const tasks = taskRows.value.flatMap(row => this.parse(row, TASK_ROW) ?? [])
    if (job === null || tasks.length !== job.content.count) return null
    return planJob(job, tasks, this.context)
  }

  private parse<T extends JobRow | TaskRow> (row: Row, schema: Parameters<typeof parseRow<T>>[1]): Versioned<T> | null {
    const content = parseRow(row, schema)
    if (content.isOk()) return { version: row.version, content: content.value }
    this.context.log.write(EVENTS.badRow, { key: row.key, problem: content.error })
    return null
  }

  private async follow (plan: Plan): Promise<void> {
    if (plan.ending !== null) return await this.close(plan.job, plan.ending)
    if (plan.steps.length > 0) await this.step(plan)
    if (plan.parkReason !== '') this.context.log.write(EVENTS.parked, { job: plan.job.content.id, reason: plan.parkReason })
    await this.place(plan)
  }

  private async step (plan: Plan): Promise<void> {
    await this.transitions.apply(plan.steps)
    if (plan.stirred.length === 0) return
    for (const holder of this.context.holders()) this.post.send(holder, 'stirred', { workers: plan.stirred })
  }

  private async place (plan: Plan): Promise<void> {
    const { id } = plan.job.content
    const now = this.context.clock.now()
    if (plan.units.length === 0 || (this.attempts.get(id)?.at ?? now) > now) return
    const tries = this.attempts.get(id)?.tries ?? 0
    const { insists, priority } = plan
    const manner = { insists, priority, avoids: tries < AVOIDING_TRIES, preemptsBelow: tries > 0 ? plan.preemptsBelow : null }
    let wanted = 0
    let held = 0
    for (const unit of plan.units) {
      const outcome = await this.placer.place({ ...unit, ...manner })
      wanted += unit.tasks.length
      held += outcome.held
      if (outcome.placed.length > 0) this.context.log.write(EVENTS.placed, { job: id, placements: outcome.placed, age: plan.age })
      if (outcome.placed.length < unit.tasks.length) break
    }
    this.note(plan, wanted, held)
  }

  /** Old gangs ask again sooner than young ones. */
  private note (plan: Plan, wanted: number, held: number): void {
    const { clock, log, random, tuning } = this.context
    const { id } = plan.job.content
    if (held >= wanted) {
      this.attempts.delete(id)
      return
    }
    const tries = (this.attempts.get(id)?.tries ?? 0) + 1
    const growing = Math.min(tuning.backoff * 2 ** Math.min(tries, MAX_DOUBLINGS), MAX_PLACE_DELAY_MS)
    const wished = random.jitter(growing / (1 + plan.age / tuning.gangPatience))
    // An owner forgets the insistence of a job that does not ask again in time.
    const delay = plan.insists ? Math.min(wished, tuning.hold / 2) : wished
    this.attempts.set(id, { tries, at: clock.now() + delay })
    log.write(EVENTS.unplaced, { job: id, wanted, held, delay: Math.round(delay) })
  }

  private async close (job: Versioned<JobRow>, ending: JobEvent): Promise<void> {
    const state = JOB_CHART.next(job.content.state, ending)
    if (state === null) return
    const { id } = job.content
    const settlement = await this.writer.write({
      checks: [{ key: jobKey(id), version: job.version }],
      writes: [{ key: jobKey(id), value: JSON.stringify({ ...job.content, state }) }, { key: openKey(id), value: null }]
    })
    if (settlement.outcome === 'committed') this.context.log.write(EVENTS.jobEnded, { job: id, state })
  }

  private forget (open: Set<string>): void {
    for (const job of this.attempts.keys()) {
      if (!open.has(job)) this.attempts.delete(job)
    }
  }
}

function nameOf (row: Row): string {
  return row.key.slice(OPEN_PREFIX.length)
}
