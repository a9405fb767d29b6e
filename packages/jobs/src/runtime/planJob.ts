import type { ResolvedClass } from '@rattanstep/rules'
import type { Context } from '../types/context.js'
import type { JobEvent, TaskLife } from '../types/job.js'
import type { JobRow, TaskRow } from '../types/rows.js'
import { findMisfit } from './findUnschedulableReason.js'
import type { Unit, Versioned } from './Placer.js'
import type { Step } from './TransitionWriter.js'

/** Tasks of a batch or of a service that are placed together. */
const TASKS_PER_UNIT = 16
const FINAL = new Set<TaskLife>(['done', 'failed', 'cancelled'])
const WAITING = new Set<TaskLife>(['pending', 'parked'])

/** What the driver of a job does next. */
export interface Plan {
  job: Versioned<JobRow>
  /** How the job ends, when every task has ended. */
  ending: JobEvent | null
  steps: Step[]
  /** Workers whose placements the steps change. */
  stirred: string[]
  /** Tasks to place now. */
  units: Array<Pick<Unit, 'job' | 'tasks' | 'whole'>>
  /** Whether younger jobs are to make way. */
  insists: boolean
  /** Priority of the class, raised by ageing. */
  priority: number
  /** Tasks of classes below this priority may be moved off; `null` for none. */
  preemptsBelow: number | null
  /** Milliseconds since the job was accepted. */
  age: number
  /** Why tasks are being parked, or empty. */
  parkReason: string
}

type Task = Versioned<TaskRow>
type PlanContext = Pick<Context, 'clock' | 'classes' | 'owned' | 'tuning'>

/**
 * Decides what to do for a job, from its rows alone.
 *
 * @param job - the job's row
 * @param tasks - rows of all its tasks
 * @param context - time, rules and the cell as known
 * @returns what to do
 */
export function planJob (job: Versioned<JobRow>, tasks: Task[], context: PlanContext): Plan {
  const age = Math.max(0, context.clock.wall() - job.content.submitted)
  const plan: Plan = { job, ending: null, steps: [], stirred: [], units: [], insists: false, priority: 0, preemptsBelow: null, age, parkReason: '' }
  if (tasks.every(task => FINAL.has(task.content.state))) {
    plan.ending = tasks.some(task => task.content.state === 'failed') ? 'fail' : 'complete'
    return plan
  }
  if (mustCancel(job, tasks)) {
    tell(plan, tasks.filter(task => task.content.state !== 'cancelling'), 'cancel')
    return plan
  }
  if (job.content.kind === 'gang' && isTorn(tasks)) {
    tell(plan, tasks.filter(task => task.content.state === 'placed'), 'vacate')
    return plan
  }
  planWaiting(plan, tasks.filter(task => WAITING.has(task.content.state)), context)
  return plan
}

/** A gang of which one task has failed for good can not complete. */
function mustCancel (job: Versioned<JobRow>, tasks: Task[]): boolean {
  if (job.content.state === 'cancelling') return true
  return job.content.kind === 'gang' && tasks.some(task => task.content.state === 'failed')
}

/** Some tasks of a gang wait while others run. */
function isTorn (tasks: Task[]): boolean {
  const open = tasks.filter(task => !FINAL.has(task.content.state))
  return open.some(task => task.content.state !== 'placed') && open.some(task => !WAITING.has(task.content.state))
}

function tell (plan: Plan, tasks: Task[], event: 'cancel' | 'vacate'): void {
  plan.steps = stepAll(tasks, event)
  plan.stirred = [...new Set(tasks.flatMap(({ content }) => WAITING.has(content.state) || FINAL.has(content.state) ? [] : [content.worker]))]
}

function planWaiting (plan: Plan, waiting: Task[], context: PlanContext): void {
  if (waiting.length === 0) return
  const rule = context.classes().find(entry => entry.name === plan.job.content.class)
  const expired = rule === undefined ? [] : waiting.filter(task => task.content.fence === 0 && plan.age > rule.patience)
  if (expired.length > 0) {
    plan.steps = stepAll(expired, 'expire', `no room was found within the patience of class ${rule!.name}; it was not run`)
    return
  }
  const misfit = findProblem(plan.job.content, waiting, context)
  const [event, state] = misfit === null ? ['unpark', 'parked'] as const : ['park', 'pending'] as const
  plan.steps = stepAll(waiting.filter(task => task.content.state === state), event, misfit ?? '')
  if (misfit !== null) {
    if (plan.steps.length > 0) plan.parkReason = misfit
    return
  }
  if (plan.steps.length > 0) return
  const due = waiting.filter(task => task.content.notBefore <= context.clock.wall())
  plan.units = divide(plan.job, waiting, due)
  plan.insists = mayInsist(plan, context)
  if (rule === undefined) return
  plan.priority = agedPriority(rule, plan.age)
  plan.preemptsBelow = rule.preempts === 'checkpoint' || rule.preempts === 'stop' ? rule.priority : null
}

/**
 * @param rule - class of a job
 * @param age - ms since the job was accepted
 * @returns the priority of the class, raised by the time waited
 */
export function agedPriority (rule: ResolvedClass, age: number): number {
  return rule.priority + (rule.ageing > 0 ? age / rule.ageing : 0)
}

function findProblem (job: JobRow, waiting: Task[], context: PlanContext): string | null {
  if (!context.classes().some(entry => entry.name === job.class)) return `the rules no longer name class ${job.class}; add it or cancel the job`
  return findMisfit(job.kind, waiting.map(task => task.content.resources), context.owned.cellWorkers())
}

function divide (job: Versioned<JobRow>, waiting: Task[], due: Task[]): Plan['units'] {
  if (job.content.kind === 'gang') return due.length === waiting.length ? [{ job, tasks: due, whole: true }] : []
  const units: Plan['units'] = []
  for (let from = 0; from < due.length; from += TASKS_PER_UNIT) {
    units.push({ job, tasks: due.slice(from, from + TASKS_PER_UNIT), whole: false })
  }
  return units
}

/** An old gang keeps younger jobs back for a while and then leaves off as long, so that it can not block them for good. */
function mayInsist (plan: Plan, context: PlanContext): boolean {
  const { gangInsistence, gangPatience } = context.tuning
  if (plan.job.content.kind !== 'gang' || plan.age < gangPatience) return false
  return Math.floor((plan.age - gangPatience) / gangInsistence) % 2 === 0
}

function stepAll (tasks: Task[], event: Step['event'], reason?: string): Step[] {
  return tasks
    .filter(task => !FINAL.has(task.content.state))
    .map(({ content }) => ({ job: content.job, index: content.index, fence: content.fence, event, patch: reason === undefined ? {} : { reason } }))
}
