import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { ListedEnd, OrderOutcome } from '../types/worker.js'
import { CELL_EVENTS } from '../types/events.js'
import type { Book } from './Book.js'
import type { JobState, Task, Unit, WorkerState } from './model.js'
import type { Placement } from './planRound.js'

/** ms before a task whose start was turned down is placed again. */
const REFUSED_PAUSE = 50
/** ms for which an unwell worker is given nothing. */
const UNWELL_REST = 500
/** Failed runs in a row after which a worker is given nothing for a while; one in 8,000 at a failure rate of 5 %. */
const FAILURES_BEFORE_REST = 3
/** ms for which a worker that fails everything is given nothing. */
const FAILING_REST = 3000

/** What task lives ask of their surroundings. */
export interface TaskLifeOptions {
  book: Book
  clock: Clock
  log: Log
  /** Puts the job's state on record and runs `then` afterwards. */
  record: (job: JobState, then?: () => void) => void
  /** Sends the order for a placed task. */
  order: (task: Task, ticket?: string) => void
  /** Stops a run, until that is settled. */
  stop: (task: Task) => void
  /** Failed runs after which a task of the job is given up. */
  maxAttempts: (job: JobState) => number
  /** Something changed that may let other tasks start. */
  changed: () => void
}

/** What happens to tasks, from the decision to start them to the end of their job. */
export class TaskLife {
  constructor (private readonly options: TaskLifeOptions) {}

  /** Takes the room and starts the run once that is on record. */
  place (placements: Placement[]): void {
    const gangs = new Map<object, number>()
    for (const { task } of placements) {
      if (task.step.definition.gang) gangs.set(task.step, Math.max(gangs.get(task.step) ?? 0, task.run + 1))
    }
    for (const { task, worker, ticket } of placements) this.placeOne(task, worker, gangs.get(task.step) ?? task.run + 1, ticket)
  }

  private placeOne (task: Task, worker: WorkerState, run: number, ticket?: string): void {
    const { book, clock, log, record, order } = this.options
    task.run = run
    task.phase = 'placed'
    task.takenAt = 0
    task.stoppedAt = 0
    if (task.step.definition.gang) task.checkpoint = newestCheckpoint(task.step.tasks)
    book.assign(task, worker)
    book.refreshUnit(task.step.unit)
    const { job } = task.step.unit
    log.write(CELL_EVENTS.placed, {
      task: task.name, run, worker: worker.report.id, age: Math.round(clock.now() - job.arrivedAt), free: worker.report.capacity.cpu - worker.used.cpu, looked: Math.round(clock.now() - worker.clock.at)
    })
    record(job, () => {
      if (task.phase !== 'placed' || task.run !== run) return
      task.phase = 'ordered'
      order(task, ticket)
    })
  }

  /** Takes the answer to a start in. */
  orderAnswered (task: Task, run: number, worker: WorkerState, outcome: OrderOutcome): void {
    if (task.run !== run || task.worker !== worker) return
    const { clock, log, book } = this.options
    if (outcome.kind === 'taken') {
      if (task.phase !== 'ordered') return
      task.phase = 'running'
      task.takenAt = clock.now()
      book.begin(task.step.unit.job)
      return
    }
    log.write(CELL_EVENTS.orderFailed, { task: task.name, run, worker: worker.report.id, outcome: describe(outcome) })
    if (outcome.kind === 'unknown') {
      if (task.phase === 'ordered') this.stopRun(task, 'start-unanswered')
      return
    }
    if (outcome.kind === 'unwell') this.restWorker(worker, UNWELL_REST, 'unwell')
    if (outcome.kind === 'refused' && outcome.reason === 'ticket') task.step.tickets.delete(worker.report.id)
    if (outcome.kind === 'refused' && outcome.reason === 'room') this.restWorker(worker, UNWELL_REST, 'no room')
    if (task.phase !== 'ordered' && task.phase !== 'stopping') return
    task.notBefore = clock.now() + REFUSED_PAUSE
    this.backToWaiting(task)
  }

  /** Takes the end of a run in, as listed by its worker. */
  ended (task: Task, end: ListedEnd, worker: WorkerState): void {
    const { log, book } = this.options
    const known = task.phase === 'done'
    log.write(CELL_EVENTS.ended, { task: task.name, run: end.run, worker: worker.report.id, how: end.how, failures: task.failures + (end.how === 'failed' ? 1 : 0) })
    if (end.checkpoint !== '') task.checkpoint = end.checkpoint
    book.begin(task.step.unit.job)
    if (known) return this.releaseDone(task)
    if (end.how === 'done') return this.finish(task, worker)
    if (end.how === 'failed') return this.failed(task, worker)
    this.backToWaiting(task)
  }

  /** A run is over although its worker has not said so. */
  lost (task: Task, reason: string): void {
    this.options.log.write(CELL_EVENTS.lost, { task: task.name, run: task.run, worker: task.worker?.report.id, reason })
    if (task.phase === 'done') return this.releaseDone(task)
    this.backToWaiting(task)
  }

  /** Ends a job's life and stops what runs of it. */
  endJob (job: JobState, phase: 'failed' | 'cancelled'): void {
    if (job.phase !== 'open') return
    job.phase = phase
    this.closeJob(job)
    for (const unit of job.units) {
      for (const step of unit.steps) {
        for (const task of step.tasks) this.abandon(task, phase)
      }
      this.options.book.refreshUnit(unit)
    }
  }

  /** Stops a run; the task waits again once that is settled. */
  stopRun (task: Task, reason: string): void {
    if (task.phase === 'stopping' || task.worker === undefined) return
    this.options.log.write(CELL_EVENTS.stop, { task: task.name, run: task.run, worker: task.worker.report.id, reason })
    task.phase = 'stopping'
    task.stoppedAt = 0
    this.options.stop(task)
  }

  private abandon (task: Task, reason: string): void {
    if (task.phase === 'placed') this.backToWaiting(task)
    else if (task.phase === 'ordered' || task.phase === 'running' || task.phase === 'assumed') this.stopRun(task, reason)
  }

  private finish (task: Task, worker: WorkerState): void {
    worker.failuresInRow = 0
    const { step } = task
    if (step.definition.lasting) return this.backToWaiting(task)
    const members = step.definition.gang ? step.tasks : [task]
    for (const member of members) {
      if (member.phase === 'done') continue
      member.phase = 'done'
      step.done++
    }
    this.options.book.release(task)
    this.settleUnit(step.unit)
    this.options.record(step.unit.job)
    this.options.changed()
  }

  private releaseDone (task: Task): void {
    this.options.book.release(task)
    this.options.record(task.step.unit.job)
    this.options.changed()
  }

  private settleUnit (unit: Unit): void {
    const { book } = this.options
    unit.done = unit.steps.filter(step => step.done === step.tasks.length).length
    book.refreshUnit(unit)
    const { job } = unit
    if (job.phase !== 'open' || !job.units.every(each => each.done === each.steps.length)) return
    job.phase = 'completed'
    this.closeJob(job)
  }

  private closeJob (job: JobState): void {
    const { book, clock, log, record } = this.options
    const { phase } = job
    job.endedAt = clock.now()
    book.begin(job)
    record(job, () => {
      job.shown = phase === 'open' ? job.shown : phase
      log.write(CELL_EVENTS.jobEnded, { job: job.job.id, phase, age: Math.round(clock.now() - job.arrivedAt) })
    })
  }

  private failed (task: Task, worker: WorkerState): void {
    const { step } = task
    worker.failuresInRow++
    if (worker.failuresInRow >= FAILURES_BEFORE_REST) this.restWorker(worker, FAILING_REST, 'fails all it starts')
    task.avoid.add(worker.report.id)
    if (!step.definition.gang) task.failures++
    else if (step.failedRun < task.run) {
      step.failedRun = task.run
      for (const member of step.tasks) member.failures++
    }
    const spent = !step.definition.lasting && task.failures >= this.options.maxAttempts(step.unit.job)
    this.backToWaiting(task)
    if (spent) this.endJob(step.unit.job, 'failed')
  }

  private backToWaiting (task: Task): void {
    const { book, record, changed } = this.options
    book.release(task)
    task.phase = 'waiting'
    const { step } = task
    if (step.definition.gang && step.unit.job.phase === 'open') this.breakGang(task)
    book.refreshUnit(step.unit)
    record(step.unit.job)
    changed()
  }

  /** Members that go on without the one that is lost only wait for it in vain. */
  private breakGang (task: Task): void {
    for (const member of task.step.tasks) this.abandon(member, 'gang-broken')
  }

  /** Gives a worker nothing for a while. */
  restWorker (worker: WorkerState, duration: number, reason: string): void {
    worker.restUntil = Math.max(worker.restUntil, this.options.clock.now() + duration)
    this.options.log.write(CELL_EVENTS.workerRested, { worker: worker.report.id, reason, duration })
  }
}

/** Checkpoints of one gang are alike in form and grow with progress. */
function newestCheckpoint (tasks: Task[]): string {
  return tasks.reduce((newest, task) => task.checkpoint > newest ? task.checkpoint : newest, '')
}

function describe (outcome: OrderOutcome): string {
  return 'reason' in outcome ? `${outcome.kind}: ${outcome.reason}` : outcome.kind
}
