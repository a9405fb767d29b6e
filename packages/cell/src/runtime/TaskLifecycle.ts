import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { ListedEnd, OrderOutcome } from '../types/worker.js'
import { CELL_EVENTS } from '../types/events.js'
import type { Registry } from './Registry.js'
import type { JobState, Task, JobOccurrence, WorkerState } from './model.js'
import type { Placement } from './planRound.js'

/** ms before a task whose start was turned down is placed again. */
const REFUSED_RETRY_DELAY_MS = 50
/** ms for which an unwell worker is given nothing. */
const UNWELL_SUSPENSION_MS = 500
/** Failed runs in a row after which a worker is given nothing for a while; one in 8,000 at a failure rate of 5 %. */
const MAX_CONSECUTIVE_FAILURES = 3
/** ms for which a worker that fails everything is given nothing. */
const FAILING_SUSPENSION_MS = 3000

/** What task lives ask of their surroundings. */
export interface TaskLifecycleOptions {
  registry: Registry
  clock: Clock
  log: Log
  /** Puts the job's state on record and runs `then` afterwards. */
  record: (job: JobState, then?: () => void) => void
  /** Sends the order for a placed task. */
  sendStart: (task: Task, ticket?: string) => void
  /** Stops a run, until that is settled. */
  sendStop: (task: Task) => void
  /** Failed runs after which a task of the job is given up. */
  maxAttempts: (job: JobState) => number
  /** Something changed that may let other tasks start. */
  onChange: () => void
}

/** What happens to tasks, from the decision to start them to the end of their job. */
export class TaskLifecycle {
  constructor (private readonly options: TaskLifecycleOptions) {}

  /** Takes the room and starts the run once that is on record. */
  place (placements: Placement[]): void {
    const gangs = new Map<object, number>()
    for (const { task } of placements) {
      if (task.step.definition.gang) gangs.set(task.step, Math.max(gangs.get(task.step) ?? 0, task.run + 1))
    }
    for (const { task, worker, ticket } of placements) this.placeOne(task, worker, gangs.get(task.step) ?? task.run + 1, ticket)
  }

  private placeOne (task: Task, worker: WorkerState, run: number, ticket?: string): void {
    const { registry, clock, log, record, sendStart } = this.options
    task.run = run
    task.phase = 'placed'
    task.confirmedAt = 0
    task.stopConfirmedAt = 0
    if (task.step.definition.gang) task.checkpoint = newestCheckpoint(task.step.tasks)
    registry.assign(task, worker)
    registry.updateReadySteps(task.step.occurrence)
    const { job } = task.step.occurrence
    log.write(CELL_EVENTS.runPlaced, {
      task: task.name, run, worker: worker.report.id, age: Math.round(clock.now() - job.submittedAt), free: worker.report.capacity.cpu - worker.used.cpu, looked: Math.round(clock.now() - worker.clock.at)
    })
    record(job, () => {
      if (task.phase !== 'placed' || task.run !== run) return
      task.phase = 'ordered'
      sendStart(task, ticket)
    })
  }

  /** Takes the answer to a start in. */
  handleStartOutcome (task: Task, run: number, worker: WorkerState, outcome: OrderOutcome): void {
    if (task.run !== run || task.worker !== worker) return
    const { clock, log, registry } = this.options
    if (outcome.kind === 'taken') {
      if (task.phase !== 'ordered') return
      task.phase = 'running'
      task.confirmedAt = clock.now()
      registry.markStarted(task.step.occurrence.job)
      return
    }
    log.write(CELL_EVENTS.startNotTaken, { task: task.name, run, worker: worker.report.id, outcome: describeOutcome(outcome) })
    if (outcome.kind === 'unknown') {
      if (task.phase === 'ordered') this.stopRun(task, 'start-unanswered')
      return
    }
    if (outcome.kind === 'unwell') this.suspendWorker(worker, UNWELL_SUSPENSION_MS, 'unwell')
    if (outcome.kind === 'refused' && outcome.reason === 'ticket') task.step.tickets.delete(worker.report.id)
    if (outcome.kind === 'refused' && outcome.reason === 'room') this.suspendWorker(worker, UNWELL_SUSPENSION_MS, 'no room')
    if (task.phase !== 'ordered' && task.phase !== 'stopping') return
    task.notBefore = clock.now() + REFUSED_RETRY_DELAY_MS
    this.resetToWaiting(task)
  }

  /** Takes the end of a run in, as listed by its worker. */
  handleEnd (task: Task, end: ListedEnd, worker: WorkerState): void {
    const { log, registry } = this.options
    const wasDone = task.phase === 'done'
    log.write(CELL_EVENTS.runEnded, { task: task.name, run: end.run, worker: worker.report.id, how: end.how, failures: task.failures + (end.how === 'failed' ? 1 : 0) })
    if (end.checkpoint !== '') task.checkpoint = end.checkpoint
    registry.markStarted(task.step.occurrence.job)
    if (wasDone) return this.releaseDone(task)
    if (end.how === 'done') return this.completeTask(task, worker)
    if (end.how === 'failed') return this.failTask(task, worker)
    this.resetToWaiting(task)
  }

  /** A run is over although its worker has not said so. */
  handleLostRun (task: Task, reason: string): void {
    this.options.log.write(CELL_EVENTS.runLost, { task: task.name, run: task.run, worker: task.worker?.report.id, reason })
    if (task.phase === 'done') return this.releaseDone(task)
    this.resetToWaiting(task)
  }

  /** Ends a job's life and stops what runs of it. */
  endJob (job: JobState, phase: 'failed' | 'cancelled'): void {
    if (job.phase !== 'open') return
    job.phase = phase
    this.closeJob(job)
    for (const occurrence of job.occurrences) {
      for (const step of occurrence.steps) {
        for (const task of step.tasks) this.stopOrReset(task, phase)
      }
      this.options.registry.updateReadySteps(occurrence)
    }
  }

  /** Stops a run; the task waits again once that is settled. */
  stopRun (task: Task, reason: string): void {
    if (task.phase === 'stopping' || task.worker === undefined) return
    this.options.log.write(CELL_EVENTS.stopOrdered, { task: task.name, run: task.run, worker: task.worker.report.id, reason })
    task.phase = 'stopping'
    task.stopConfirmedAt = 0
    this.options.sendStop(task)
  }

  private stopOrReset (task: Task, reason: string): void {
    if (task.phase === 'placed') this.resetToWaiting(task)
    else if (task.phase === 'ordered' || task.phase === 'running' || task.phase === 'assumed') this.stopRun(task, reason)
  }

  private completeTask (task: Task, worker: WorkerState): void {
    worker.consecutiveFailures = 0
    const { step } = task
    if (step.definition.lasting) return this.resetToWaiting(task)
    const members = step.definition.gang ? step.tasks : [task]
    for (const member of members) {
      if (member.phase === 'done') continue
      member.phase = 'done'
      step.doneTasks++
    }
    this.options.registry.release(task)
    this.updateOccurrence(step.occurrence)
    this.options.record(step.occurrence.job)
    this.options.onChange()
  }

  private releaseDone (task: Task): void {
    this.options.registry.release(task)
    this.options.record(task.step.occurrence.job)
    this.options.onChange()
  }

  private updateOccurrence (occurrence: JobOccurrence): void {
    const { registry } = this.options
    occurrence.doneSteps = occurrence.steps.filter(step => step.doneTasks === step.tasks.length).length
    registry.updateReadySteps(occurrence)
    const { job } = occurrence
    if (job.phase !== 'open' || !job.occurrences.every(each => each.doneSteps === each.steps.length)) return
    job.phase = 'completed'
    this.closeJob(job)
  }

  private closeJob (job: JobState): void {
    const { registry, clock, log, record } = this.options
    const { phase } = job
    job.endedAt = clock.now()
    registry.markStarted(job)
    record(job, () => {
      job.visiblePhase = phase === 'open' ? job.visiblePhase : phase
      log.write(CELL_EVENTS.jobSettled, { job: job.job.id, phase, age: Math.round(clock.now() - job.submittedAt) })
    })
  }

  private failTask (task: Task, worker: WorkerState): void {
    const { step } = task
    worker.consecutiveFailures++
    if (worker.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) this.suspendWorker(worker, FAILING_SUSPENSION_MS, 'fails all it starts')
    task.avoidedWorkers.add(worker.report.id)
    if (!step.definition.gang) task.failures++
    else if (step.lastFailedRun < task.run) {
      step.lastFailedRun = task.run
      for (const member of step.tasks) member.failures++
    }
    const isGivenUp = !step.definition.lasting && task.failures >= this.options.maxAttempts(step.occurrence.job)
    this.resetToWaiting(task)
    if (isGivenUp) this.endJob(step.occurrence.job, 'failed')
  }

  private resetToWaiting (task: Task): void {
    const { registry, record, onChange } = this.options
    registry.release(task)
    task.phase = 'waiting'
    const { step } = task
    if (step.definition.gang && step.occurrence.job.phase === 'open') this.stopGang(task)
    registry.updateReadySteps(step.occurrence)
    record(step.occurrence.job)
    onChange()
  }

  /** Members that go on without the one that is lost only wait for it in vain. */
  private stopGang (task: Task): void {
    for (const member of task.step.tasks) this.stopOrReset(member, 'gang-broken')
  }

  /** Gives a worker nothing for a while. */
  suspendWorker (worker: WorkerState, duration: number, reason: string): void {
    worker.suspendedUntil = Math.max(worker.suspendedUntil, this.options.clock.now() + duration)
    this.options.log.write(CELL_EVENTS.workerSuspended, { worker: worker.report.id, reason, duration })
  }
}

/** Checkpoints of one gang are alike in form and grow with progress. */
function newestCheckpoint (tasks: Task[]): string {
  return tasks.reduce((newest, task) => task.checkpoint > newest ? task.checkpoint : newest, '')
}

function describeOutcome (outcome: OrderOutcome): string {
  return 'reason' in outcome ? `${outcome.kind}: ${outcome.reason}` : outcome.kind
}
