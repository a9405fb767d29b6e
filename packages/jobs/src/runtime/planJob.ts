import type { ResolvedClass } from '@rattanstep/rules'
import type { Context } from '../types/context.js'
import type { JobEvent, JobTaskState } from '../types/job.js'
import type { JobRow, TaskRow } from '../types/rows.js'
import { findUnschedulableReason } from './findUnschedulableReason.js'
import type { PlacementUnit, Versioned } from './Placer.js'
import type { TaskTransition } from './TransitionWriter.js'

/** Maximum number of tasks of a batch or service that are placed by one transaction. */
const TASKS_PER_UNIT = 16
const FINAL_STATES = new Set<JobTaskState>(['done', 'failed', 'cancelled'])
const WAITING_STATES = new Set<JobTaskState>(['pending', 'parked'])

/** The next actions of a driver for a job. */
export interface Plan {
  job: Versioned<JobRow>
  /** Event that ends the job; `null` until every task has ended. */
  endEvent: JobEvent | null
  /** Events to apply to tasks. */
  transitions: TaskTransition[]
  /** Workers whose placements the transitions change. */
  changedWorkers: string[]
  /** Tasks to place now. */
  units: Array<Pick<PlacementUnit, 'job' | 'tasks' | 'isAllOrNothing'>>
  /** Whether owners reserve capacity for the job. */
  reservesCapacity: boolean
  /** Priority of the class, raised by the age of the job. */
  priority: number
  /** Tasks of classes below this priority may be preempted; `null` for none. */
  preemptsBelow: number | null
  /** Time in ms since the job was accepted. */
  age: number
  /** Why the plan parks tasks, or empty when it parks none. */
  parkReason: string
}

type Task = Versioned<TaskRow>
type PlanContext = Pick<Context, 'clock' | 'classes' | 'ownership' | 'tuning'>

/**
 * Decides the next actions for a job from its rows alone.
 *
 * @param job - the job's row
 * @param tasks - rows of all its tasks
 * @param context - clock, classes of the rules, known workers and tuning
 * @returns the plan
 */
export function planJob (job: Versioned<JobRow>, tasks: Task[], context: PlanContext): Plan {
  const age = Math.max(0, context.clock.wall() - job.content.submitted)
  const plan: Plan = { job, endEvent: null, transitions: [], changedWorkers: [], units: [], reservesCapacity: false, priority: 0, preemptsBelow: null, age, parkReason: '' }
  if (tasks.every(task => FINAL_STATES.has(task.content.state))) {
    plan.endEvent = tasks.some(task => task.content.state === 'failed') ? 'fail' : 'complete'
    return plan
  }
  if (mustCancel(job, tasks)) {
    planStops(plan, tasks.filter(task => task.content.state !== 'cancelling'), 'cancel')
    return plan
  }
  if (job.content.kind === 'gang' && isPartlyPlaced(tasks)) {
    planStops(plan, tasks.filter(task => task.content.state === 'placed'), 'vacate')
    return plan
  }
  planWaiting(plan, tasks.filter(task => WAITING_STATES.has(task.content.state)), context)
  return plan
}

/** A gang cannot complete once one of its tasks has failed for good. */
function mustCancel (job: Versioned<JobRow>, tasks: Task[]): boolean {
  if (job.content.state === 'cancelling') return true
  return job.content.kind === 'gang' && tasks.some(task => task.content.state === 'failed')
}

/** Whether some tasks of a gang run while others do not. */
function isPartlyPlaced (tasks: Task[]): boolean {
  const open = tasks.filter(task => !FINAL_STATES.has(task.content.state))
  return open.some(task => task.content.state !== 'placed') && open.some(task => !WAITING_STATES.has(task.content.state))
}

function planStops (plan: Plan, tasks: Task[], event: 'cancel' | 'vacate'): void {
  plan.transitions = transitionAll(tasks, event)
  plan.changedWorkers = [...new Set(tasks.flatMap(({ content }) => WAITING_STATES.has(content.state) || FINAL_STATES.has(content.state) ? [] : [content.worker]))]
}

function planWaiting (plan: Plan, waiting: Task[], context: PlanContext): void {
  if (waiting.length === 0) return
  const jobClass = context.classes().find(entry => entry.name === plan.job.content.class)
  const expired = jobClass === undefined ? [] : waiting.filter(task => task.content.fence === 0 && plan.age > jobClass.patience)
  if (expired.length > 0) {
    plan.transitions = transitionAll(expired, 'expire', `no room was found within the patience of class ${jobClass!.name}; it was not run`)
    return
  }
  const parkReason = findParkReason(plan.job.content, waiting, context)
  const [event, state] = parkReason === null ? ['unpark', 'parked'] as const : ['park', 'pending'] as const
  plan.transitions = transitionAll(waiting.filter(task => task.content.state === state), event, parkReason ?? '')
  if (parkReason !== null) {
    if (plan.transitions.length > 0) plan.parkReason = parkReason
    return
  }
  if (plan.transitions.length > 0) return
  const due = waiting.filter(task => task.content.notBefore <= context.clock.wall())
  plan.units = divideIntoUnits(plan.job, waiting, due)
  plan.reservesCapacity = mayReserveCapacity(plan, context)
  if (jobClass === undefined) return
  plan.priority = agedPriority(jobClass, plan.age)
  plan.preemptsBelow = jobClass.preempts === 'checkpoint' || jobClass.preempts === 'stop' ? jobClass.priority : null
}

/**
 * @param jobClass - class of the job
 * @param age - ms since the job was accepted
 * @returns the priority of the class, raised by one for each ageing period of the class
 */
export function agedPriority (jobClass: ResolvedClass, age: number): number {
  return jobClass.priority + (jobClass.ageing > 0 ? age / jobClass.ageing : 0)
}

function findParkReason (job: JobRow, waiting: Task[], context: PlanContext): string | null {
  if (!context.classes().some(entry => entry.name === job.class)) return `the rules no longer name class ${job.class}; add it or cancel the job`
  return findUnschedulableReason(job.kind, waiting.map(task => task.content.resources), context.ownership.cellWorkers())
}

function divideIntoUnits (job: Versioned<JobRow>, waiting: Task[], due: Task[]): Plan['units'] {
  if (job.content.kind === 'gang') return due.length === waiting.length ? [{ job, tasks: due, isAllOrNothing: true }] : []
  const units: Plan['units'] = []
  for (let from = 0; from < due.length; from += TASKS_PER_UNIT) {
    units.push({ job, tasks: due.slice(from, from + TASKS_PER_UNIT), isAllOrNothing: false })
  }
  return units
}

/** An old gang reserves capacity in alternating periods, so that it cannot block other jobs for good. */
function mayReserveCapacity (plan: Plan, context: PlanContext): boolean {
  const { gangReservationDuration, gangReservationAge } = context.tuning
  if (plan.job.content.kind !== 'gang' || plan.age < gangReservationAge) return false
  return Math.floor((plan.age - gangReservationAge) / gangReservationDuration) % 2 === 0
}

function transitionAll (tasks: Task[], event: TaskTransition['event'], reason?: string): TaskTransition[] {
  return tasks
    .filter(task => !FINAL_STATES.has(task.content.state))
    .map(({ content }) => ({ job: content.job, index: content.index, fence: content.fence, event, patch: reason === undefined ? {} : { reason } }))
}
