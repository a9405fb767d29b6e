import type { Job, Size, Step } from '../types/job.js'
import type { WorkerReport } from '../types/worker.js'
import type { JobState, StepState, Task, JobOccurrence, WorkerState } from './model.js'
import { stepName, taskName } from './taskName.js'

/** How a job can end. */
export type EndedPhase = Exclude<JobState['phase'], 'open'>

/** All jobs, tasks and workers that a decider knows. */
export class Registry {
  readonly jobs = new Map<string, JobState>()
  /** Jobs that have ended, in order of their ends: how, and the monotonic ms. */
  readonly endedJobs = new Map<string, { phase: EndedPhase, at: number }>()
  readonly workers = new Map<string, WorkerState>()
  /** Steps with tasks that wait and whose earlier steps are done. */
  readonly readySteps = new Set<StepState>()
  /** Jobs by route whose first task has not started. */
  private readonly waitingByRoute = new Map<string, number>()

  /**
   * @param job - the job
   * @param times - `now`: monotonic ms; `age`: ms since it was handed in; `wall`: ms since 1970
   * @returns its state, which may be known already
   */
  addJob (job: Job, times: { now: number, age: number, wall: number }): JobState {
    const existing = this.jobs.get(job.id)
    if (existing !== undefined) return existing
    const state: JobState = { job, submittedAt: times.now - times.age, phase: 'open', visiblePhase: 'queued', occurrences: [], isStarted: false, endedAt: 0 }
    for (let occurrence = 0; occurrence < (job.repeat?.count ?? 1); occurrence++) {
      const due = job.repeat === undefined ? times.now : times.now + job.repeat.first + occurrence * job.repeat.interval - times.wall
      state.occurrences.push(createOccurrence(state, occurrence, due))
    }
    this.jobs.set(job.id, state)
    this.adjustWaiting(job.route, 1)
    for (const occurrence of state.occurrences) this.updateReadySteps(occurrence)
    return state
  }

  /** Keeps only how a job has ended. */
  archive (id: string, phase: EndedPhase, now: number): void {
    this.jobs.delete(id)
    this.endedJobs.set(id, { phase, at: now })
  }

  /** Notes that a task of the job has started, or that it ended unstarted. */
  markStarted (state: JobState): void {
    if (state.isStarted) return
    state.isStarted = true
    this.adjustWaiting(state.job.route, -1)
    if (state.visiblePhase === 'queued') state.visiblePhase = 'running'
  }

  /**
   * @param route - name of a route
   * @returns accepted jobs none of whose tasks has started
   */
  countWaiting (route: string): number {
    return this.waitingByRoute.get(route) ?? 0
  }

  /** Keeps the set of ready steps true to the tasks of a unit. */
  updateReadySteps (occurrence: JobOccurrence): void {
    for (const step of occurrence.steps) {
      const isReady = occurrence.job.phase === 'open' && step.tasks.some(task => task.phase === 'waiting') &&
        step.definition.after.every(earlier => isStepDone(occurrence.steps[earlier]))
      if (isReady) this.readySteps.add(step)
      else this.readySteps.delete(step)
    }
  }

  /** Takes room for a run on a worker. */
  assign (task: Task, worker: WorkerState): void {
    task.worker = worker
    worker.tasks.set(task.name, task)
    addSize(worker.used, reservedSize(task.step.definition), 1)
  }

  /** Gives back the room of a run that is over. */
  release (task: Task): void {
    const worker = task.worker
    if (worker === undefined) return
    task.worker = undefined
    if (worker.tasks.delete(task.name)) addSize(worker.used, reservedSize(task.step.definition), -1)
  }

  /** @returns the state kept for a worker, made when it is new */
  ensureWorker (report: WorkerReport): WorkerState {
    const existing = this.workers.get(report.id)
    if (existing !== undefined) return existing
    const state: WorkerState = {
      report,
      isListed: true,
      hasAnswered: false,
      isReachable: false,
      clock: { value: 0, at: 0 },
      leasesExpireAt: 0,
      unrecordedEnds: new Set(),
      lastEndNumber: 0,
      tasks: new Map(),
      used: { cpu: 0, memory: 0, accelerators: 0 },
      unknownRuns: 0,
      suspendedUntil: 0,
      isSlow: false,
      consecutiveFailures: 0
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
    return this.jobs.get(id ?? '')?.occurrences[Number(occurrence)]?.steps[Number(step)]?.tasks[Number(index)]
  }

  private adjustWaiting (route: string, change: number): void {
    this.waitingByRoute.set(route, (this.waitingByRoute.get(route) ?? 0) + change)
  }
}

/** @returns whether all tasks of a step are done; a step that lasts never is */
export function isStepDone (step: StepState | undefined): boolean {
  return step === undefined || step.doneTasks === step.tasks.length
}

/** @returns the room that a task of the step counts for */
export function reservedSize (step: Step): Size {
  return step.filling ? { ...step.size, cpu: 0 } : step.size
}

function addSize (to: Size, size: Size, sign: 1 | -1): void {
  to.cpu += sign * size.cpu
  to.memory += sign * size.memory
  to.accelerators += sign * size.accelerators
}

function createOccurrence (job: JobState, index: number, dueAt: number): JobOccurrence {
  const occurrence: JobOccurrence = { job, index, dueAt, steps: [], doneSteps: 0 }
  occurrence.steps = job.job.steps.map((definition, index) => createStep(occurrence, index, definition))
  return occurrence
}

function createStep (occurrence: JobOccurrence, index: number, definition: Step): StepState {
  const { id } = occurrence.job.job
  const step: StepState = {
    name: stepName(id, occurrence.index, index), occurrence, index, definition, tasks: [], doneTasks: 0, allowedByWorker: new Map(), tickets: new Map(), isAdvicePending: false, nextAdviceAt: 0, lastFailedRun: 0
  }
  for (let number = 0; number < definition.count; number++) {
    step.tasks.push({
      name: taskName(id, occurrence.index, index, number), step, index: number, phase: 'waiting', run: 0, failures: 0, checkpoint: '', confirmedAt: 0, stopConfirmedAt: 0, notBefore: 0, avoidedWorkers: new Set()
    })
  }
  return step
}
