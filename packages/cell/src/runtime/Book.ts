import type { Job, Size, Step } from '../types/job.js'
import type { WorkerReport } from '../types/worker.js'
import type { JobState, StepState, Task, Unit, WorkerState } from './model.js'
import { stepName, taskName } from './taskName.js'

/** How a job can end. */
export type EndedPhase = Exclude<JobState['phase'], 'open'>

/** All jobs, tasks and workers that a decider knows. */
export class Book {
  readonly jobs = new Map<string, JobState>()
  /** Jobs that have ended, in order of their ends: how, and the monotonic ms. */
  readonly ended = new Map<string, { phase: EndedPhase, at: number }>()
  readonly workers = new Map<string, WorkerState>()
  /** Steps with tasks that wait and whose earlier steps are done. */
  readonly ready = new Set<StepState>()
  /** Jobs by route whose first task has not started. */
  private readonly waitingByRoute = new Map<string, number>()

  /**
   * @param job - the job
   * @param times - `now`: monotonic ms; `age`: ms since it was handed in; `wall`: ms since 1970
   * @returns its state, which may be known already
   */
  addJob (job: Job, times: { now: number, age: number, wall: number }): JobState {
    const known = this.jobs.get(job.id)
    if (known !== undefined) return known
    const state: JobState = { job, arrivedAt: times.now - times.age, phase: 'open', shown: 'queued', units: [], begun: false, endedAt: 0 }
    for (let occurrence = 0; occurrence < (job.repeat?.count ?? 1); occurrence++) {
      const due = job.repeat === undefined ? times.now : times.now + job.repeat.first + occurrence * job.repeat.interval - times.wall
      state.units.push(createUnit(state, occurrence, due))
    }
    this.jobs.set(job.id, state)
    this.countWaiting(job.route, 1)
    for (const unit of state.units) this.refreshUnit(unit)
    return state
  }

  /** Keeps only how a job has ended. */
  retire (id: string, phase: EndedPhase, now: number): void {
    this.jobs.delete(id)
    this.ended.set(id, { phase, at: now })
  }

  /** Notes that a task of the job has started, or that it ended unstarted. */
  begin (state: JobState): void {
    if (state.begun) return
    state.begun = true
    this.countWaiting(state.job.route, -1)
    if (state.shown === 'queued') state.shown = 'running'
  }

  /**
   * @param route - name of a route
   * @returns accepted jobs none of whose tasks has started
   */
  waiting (route: string): number {
    return this.waitingByRoute.get(route) ?? 0
  }

  /** Keeps the set of ready steps true to the tasks of a unit. */
  refreshUnit (unit: Unit): void {
    for (const step of unit.steps) {
      const open = unit.job.phase === 'open' && step.tasks.some(task => task.phase === 'waiting') &&
        step.definition.after.every(earlier => isStepDone(unit.steps[earlier]))
      if (open) this.ready.add(step)
      else this.ready.delete(step)
    }
  }

  /** Takes room for a run on a worker. */
  assign (task: Task, worker: WorkerState): void {
    task.worker = worker
    worker.tasks.set(task.name, task)
    addSize(worker.used, chargedSize(task.step.definition), 1)
  }

  /** Gives back the room of a run that is over. */
  release (task: Task): void {
    const worker = task.worker
    if (worker === undefined) return
    task.worker = undefined
    if (worker.tasks.delete(task.name)) addSize(worker.used, chargedSize(task.step.definition), -1)
  }

  /** @returns the state kept for a worker, made when it is new */
  worker (report: WorkerReport): WorkerState {
    const known = this.workers.get(report.id)
    if (known !== undefined) return known
    const state: WorkerState = {
      report,
      listed: true,
      known: false,
      reachable: false,
      clock: { value: 0, at: 0 },
      leaseOver: 0,
      unrecorded: new Set(),
      seenEnd: 0,
      tasks: new Map(),
      used: { cpu: 0, memory: 0, accelerators: 0 },
      strangers: 0,
      restUntil: 0,
      slow: false,
      failuresInRow: 0
    }
    this.workers.set(report.id, state)
    return state
  }

  /**
   * @param name - a task's name
   * @returns the task, if its job is known
   */
  findTask (name: string): Task | undefined {
    const [id, occurrence, step, index] = name.split('.')
    return this.jobs.get(id ?? '')?.units[Number(occurrence)]?.steps[Number(step)]?.tasks[Number(index)]
  }

  private countWaiting (route: string, change: number): void {
    this.waitingByRoute.set(route, (this.waitingByRoute.get(route) ?? 0) + change)
  }
}

/** @returns whether all tasks of a step are done; a step that lasts never is */
export function isStepDone (step: StepState | undefined): boolean {
  return step === undefined || step.done === step.tasks.length
}

/** @returns the room that a task of the step counts for */
export function chargedSize (step: Step): Size {
  return step.filling ? { ...step.size, cpu: 0 } : step.size
}

function addSize (to: Size, size: Size, sign: 1 | -1): void {
  to.cpu += sign * size.cpu
  to.memory += sign * size.memory
  to.accelerators += sign * size.accelerators
}

function createUnit (job: JobState, occurrence: number, dueAt: number): Unit {
  const unit: Unit = { job, occurrence, dueAt, steps: [], done: 0 }
  unit.steps = job.job.steps.map((definition, index) => createStep(unit, index, definition))
  return unit
}

function createStep (unit: Unit, index: number, definition: Step): StepState {
  const { id } = unit.job.job
  const step: StepState = {
    name: stepName(id, unit.occurrence, index), unit, index, definition, tasks: [], done: 0, rulings: new Map(), tickets: new Map(), asking: false, askAfter: 0, failedRun: 0
  }
  for (let number = 0; number < definition.count; number++) {
    step.tasks.push({
      name: taskName(id, unit.occurrence, index, number), step, index: number, phase: 'waiting', run: 0, failures: 0, checkpoint: '', takenAt: 0, stoppedAt: 0, notBefore: 0, avoid: new Set()
    })
  }
  return step
}
