import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { ListedEnd, OrderOutcome } from '../types/worker.js'
import { CELL_EVENTS } from '../types/events.js'
import { countCrashes, incarnationTag, judgeCrashes } from './CrashBudget.js'
import { isStepDone } from './Registry.js'
import type { Registry } from './Registry.js'
import { hasRemaining } from './Schedule.js'
import type { Crash, JobState, Task, JobOccurrence, WorkerState } from './model.js'
import type { Preemption } from './PreemptionRound.js'
import type { Placement } from './planRound.js'

/** Delay before a task whose start was refused is placed again. */
const REFUSED_RETRY_DELAY_MS = 50
/** Time for which no tasks are placed on a worker that is unwell or has refused a task for lack of capacity. */
const UNWELL_SUSPENSION_MS = 500
/** Number of consecutive failed runs after which a worker is suspended; occurs once in 8,000 runs at a failure rate of 5 %. */
const MAX_CONSECUTIVE_FAILURES = 3
/** Time for which no tasks are placed on a worker after consecutive failures. */
const FAILING_SUSPENSION_MS = 3000
/** Time for which a task under which a second worker seems to have crashed waits for proof; crashed workers are back one second after their leases expire. */
const PROOF_PATIENCE_MS = 2000

/** Options and callbacks of a task lifecycle. */
export interface TaskLifecycleOptions {
  registry: Registry
  clock: Clock
  log: Log
  /** Records the job's state, then calls `then`. */
  record: (job: JobState, then?: () => void) => void
  /** Records the job's state together with other changes or after a moment. */
  recordSoon: (job: JobState) => void
  /** Sends the order to start a placed task. */
  sendStart: (task: Task, ticket?: string) => void
  /** Returns why a placed task must not be started on its worker any more, or `undefined` if it may be. */
  findStartObstacle: (task: Task, needsTicket: boolean) => string | undefined
  /** Called when a task is placed on a worker, to which an order to start will follow. */
  prepareStart: (worker: WorkerState) => void
  /** Describes a worker's lease in log lines. */
  describeLease: (worker: WorkerState) => Record<string, number | string>
  /** Orders a run to stop, with retries until it is known to have ended. */
  sendStop: (task: Task) => void
  /** Returns the number of failed runs after which a task of the job fails for good. */
  maxAttempts: (job: JobState) => number
  /** Called after changes that may allow other tasks to start. */
  onChange: () => void
}

/** Transitions of tasks, from their placement to the end of their job. */
export class TaskLifecycle {
  /** Number of tasks that were given up because they crash their workers. */
  tasksGivenUp = 0

  constructor (private readonly options: TaskLifecycleOptions) {}

  /** Reserves the resources for placed tasks, and starts their runs once the placements are on record. */
  place (placements: Placement[]): void {
    const gangRuns = new Map<object, number>()
    for (const { task } of placements) {
      if (task.step.definition.gang) gangRuns.set(task.step, Math.max(gangRuns.get(task.step) ?? 0, task.run + 1))
    }
    for (const { task, worker, ticket } of placements) this.placeOne(task, worker, gangRuns.get(task.step) ?? task.run + 1, ticket)
  }

  private placeOne (task: Task, worker: WorkerState, run: number, ticket?: string): void {
    const { registry, clock, log, record, sendStart, prepareStart } = this.options
    task.run = run
    task.phase = 'placed'
    task.confirmedAt = 0
    task.orderSentAt = 0
    task.isUnanswered = false
    task.stopConfirmedAt = 0
    task.projectedEndAt = 0
    task.incarnation = incarnationTag(worker.report.born)
    if (task.step.definition.gang) task.checkpoint = newestCheckpoint(task.step.tasks.touched())
    registry.assign(task, worker)
    prepareStart(worker)
    registry.updateReadyStep(task.step)
    const { job } = task.step.occurrence
    job.suspectedSince = 0
    job.reservedWorker = ''
    log.write(CELL_EVENTS.runPlaced, {
      task: task.name, run, worker: worker.report.id, age: Math.round(clock.now() - job.submittedAt), free: worker.report.capacity.cpu - worker.used.cpu, looked: Math.round(clock.now() - worker.clock.at)
    })
    record(job, () => {
      // Any node can read the placement now, so that the job must not be shown as queued any more, even if no order follows.
      if (job.visiblePhase === 'queued') job.visiblePhase = 'running'
      if (task.phase !== 'placed' || task.run !== run) return
      const obstacle = this.findStartObstacle(task, ticket !== undefined)
      if (obstacle !== undefined) return this.cancelStart(task, obstacle)
      task.phase = 'ordered'
      task.incarnation = incarnationTag(worker.report.born)
      sendStart(task, ticket)
    })
  }

  /** Returns a task to `waiting` whose order to start was not sent. */
  cancelStart (task: Task, obstacle: string): void {
    this.options.log.write(CELL_EVENTS.startNotTaken, { task: task.name, run: task.run, worker: task.worker?.report.id, outcome: `not sent: ${obstacle}` })
    this.resetToWaiting(task)
  }

  /** Of a gang, all placed members must be able to start. */
  private findStartObstacle (task: Task, needsTicket: boolean): string | undefined {
    const members = task.step.definition.gang ? [...task.step.tasks.touched()].filter(member => member.phase === 'placed') : [task]
    for (const member of members) {
      const obstacle = this.options.findStartObstacle(member, needsTicket)
      if (obstacle !== undefined) return obstacle
    }
    return undefined
  }

  /** Handles the outcome of an order to start a run. */
  handleStartOutcome (task: Task, run: number, worker: WorkerState, outcome: OrderOutcome): void {
    if (task.run !== run || task.worker !== worker) return
    const { clock, log } = this.options
    if (outcome.kind === 'taken') {
      this.noteBegun(task)
      if (task.phase !== 'ordered') return
      task.phase = 'running'
      task.confirmedAt = clock.now()
      task.incarnation = incarnationTag(worker.report.born)
      return
    }
    log.write(CELL_EVENTS.startNotTaken, { task: task.name, run, worker: worker.report.id, outcome: describeOutcome(outcome) })
    if (outcome.kind === 'unknown') {
      // A slow worker may have begun the run, which its next list shows.
      task.isUnanswered = true
      return
    }
    if (outcome.kind === 'unwell') this.suspendWorker(worker, UNWELL_SUSPENSION_MS, 'unwell')
    if (outcome.kind === 'refused' && outcome.reason === 'ticket') task.step.tickets.delete(worker.report.id)
    if (outcome.kind === 'refused' && outcome.reason === 'room') this.suspendWorker(worker, UNWELL_SUSPENSION_MS, 'no room')
    if (task.phase !== 'ordered' && task.phase !== 'stopping') return
    task.notBefore = clock.now() + REFUSED_RETRY_DELAY_MS
    this.resetToWaiting(task)
  }

  /** Handles evidence that the task's last run has begun. A successor holds a crash of the worker against the task only if that is on record. */
  noteBegun (task: Task): void {
    if (task.begunRun === task.run) return
    task.begunRun = task.run
    const { job } = task.step.occurrence
    this.options.registry.markStarted(job)
    this.options.recordSoon(job)
  }

  /** Handles the end of a run, as listed by its worker. */
  handleEnd (task: Task, end: ListedEnd, worker: WorkerState): void {
    const { log } = this.options
    const wasDone = task.phase === 'done'
    log.write(CELL_EVENTS.runEnded, { task: task.name, run: end.run, worker: worker.report.id, how: end.ending, failures: task.failures + (end.ending === 'failed' ? 1 : 0) })
    if (end.checkpoint !== '') task.checkpoint = end.checkpoint
    this.noteBegun(task)
    if (wasDone) return this.releaseDone(task)
    if (end.ending === 'done') return this.completeTask(task, worker)
    if (end.ending === 'failed') return this.failTask(task, worker)
    this.resetToWaiting(task)
  }

  /**
   * Handles the end as done of an earlier run, which was taken for lost. The task is done, whatever has become of it since: a run that was started in its
   * place is stopped.
   */
  handleFormerCompletion (task: Task, end: ListedEnd, worker: WorkerState): void {
    this.options.log.write(CELL_EVENTS.runEnded, { task: task.name, run: end.run, worker: worker.report.id, how: end.ending, failures: task.failures })
    this.options.registry.markStarted(task.step.occurrence.job)
    const replacements = membersOf(task).filter(member => member.phase !== 'done' && member.worker !== undefined)
    const unsent = replacements.filter(member => member.phase === 'placed')
    this.markDone(task)
    for (const member of unsent) this.options.registry.release(member)
    for (const member of replacements) {
      if (member.worker === undefined) continue
      this.options.log.write(CELL_EVENTS.stopOrdered, { task: member.name, run: member.run, worker: member.worker.report.id, reason: 'done-by-earlier-run' })
      this.options.sendStop(member)
    }
    this.finishCompletion(task)
  }

  /** Handles a run that has ended without a report from its worker. */
  handleLostRun (task: Task, reason: string): void {
    this.options.log.write(CELL_EVENTS.runLost, { task: task.name, run: task.run, worker: task.worker?.report.id, reason, ...(task.worker === undefined ? {} : this.options.describeLease(task.worker)) })
    if (task.phase === 'done') return this.releaseDone(task)
    this.resetToWaiting(task)
  }

  /** Handles a change of a task's crashes: gives up a task that crashes its workers. */
  handleCrashes (task: Task): void {
    const { job } = task.step.occurrence
    if (job.phase !== 'open') return
    this.options.record(job)
    if (countCrashes(task) > 0) job.isCleared = false
    this.options.registry.updateSuspicion(task)
    if (judgeCrashes(task.crashes) !== 'exhausted') return this.awaitProof(task)
    this.tasksGivenUp++
    this.options.log.write(CELL_EVENTS.taskGivenUp, { job: job.job.id, task: task.name, crashes: task.crashes.map(describeCrash).join('; ') })
    this.endJob(job, 'failed')
  }

  /** Delays the next start of a task whose last allowed crash is not proven, since the worker may come back meanwhile and show what happened. */
  private awaitProof (task: Task): void {
    if (countCrashes(task) < 2 || task.crashes.at(-1)?.certainty !== 'presumed') return
    task.notBefore = Math.max(task.notBefore, this.options.clock.now() + PROOF_PATIENCE_MS)
  }

  /** Ends a job and stops its runs. */
  endJob (job: JobState, phase: 'failed' | 'cancelled'): void {
    if (job.phase !== 'open') return
    job.phase = phase
    this.closeJob(job)
    for (const occurrence of job.occurrences) {
      for (const step of occurrence.steps) {
        for (const task of step.tasks.touched()) this.stopOrReset(task, phase)
      }
      this.options.registry.updateReadySteps(occurrence)
    }
  }

  /** Stops a run. The task returns to `waiting` once the run is known to have ended. */
  stopRun (task: Task, reason: string): void {
    if (task.phase === 'stopping' || task.worker === undefined) return
    this.options.log.write(CELL_EVENTS.stopOrdered, { task: task.name, run: task.run, worker: task.worker.report.id, reason })
    task.phase = 'stopping'
    task.stopConfirmedAt = 0
    task.stopOrderedAt = this.options.clock.now()
    this.options.sendStop(task)
  }

  /** Stops a run for more urgent work; its task continues from its checkpoint later. */
  preempt ({ victim, beneficiary, loss }: Preemption): void {
    if (victim.phase !== 'running') return
    victim.preemptions++
    this.options.log.write(CELL_EVENTS.runPreempted, { task: victim.name, run: victim.run, worker: victim.worker?.report.id, step: beneficiary.name, loss: Math.round(loss), preemptions: victim.preemptions })
    this.stopRun(victim, 'preempted')
  }

  private stopOrReset (task: Task, reason: string): void {
    if (task.phase === 'placed') this.resetToWaiting(task)
    else if (task.phase === 'ordered' || task.phase === 'running' || task.phase === 'assumed') this.stopRun(task, reason)
  }

  private completeTask (task: Task, worker: WorkerState): void {
    worker.consecutiveFailures = 0
    this.clearCrashes(task)
    if (task.step.definition.lasting) return this.resetToWaiting(task)
    this.markDone(task)
    this.options.registry.release(task)
    this.finishCompletion(task)
  }

  private markDone (task: Task): void {
    for (const member of membersOf(task)) {
      if (member.phase === 'done') continue
      member.phase = 'done'
      this.clearCrashes(member)
      task.step.doneTasks++
      if (member.worker === undefined) member.step.tasks.release(member)
    }
  }

  private finishCompletion ({ step }: Task): void {
    const { occurrence } = step
    if (isStepDone(step)) this.updateOccurrence(occurrence)
    else this.options.registry.updateReadyStep(step)
    this.options.registry.closeOccurrence(occurrence)
    this.options.record(occurrence.job)
    this.options.onChange()
  }

  /** Clears a task that has completed of suspicion, and lets the rest of its job continue. */
  private clearCrashes (task: Task): void {
    if (task.crashes.length === 0) return
    task.crashes = []
    task.step.occurrence.job.isCleared = true
    this.options.registry.updateSuspicion(task)
  }

  private releaseDone (task: Task): void {
    this.options.registry.release(task)
    this.options.registry.closeOccurrence(task.step.occurrence)
    this.options.record(task.step.occurrence.job)
    this.options.onChange()
  }

  private updateOccurrence (occurrence: JobOccurrence): void {
    const { registry } = this.options
    occurrence.doneSteps = occurrence.steps.filter(isStepDone).length
    registry.updateReadySteps(occurrence)
    const { job } = occurrence
    if (job.phase !== 'open' || hasRemaining(job) || !job.occurrences.every(each => each.doneSteps === each.steps.length)) return
    job.phase = 'completed'
    this.closeJob(job)
  }

  private closeJob (job: JobState): void {
    const { registry, clock, log, record } = this.options
    const { phase } = job
    job.endedAt = clock.now()
    registry.suspectedJobs.delete(job)
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
    registry.updateReadyStep(step)
    record(step.occurrence.job)
    onChange()
  }

  /** Stops the other members of a gang after one has ended, since they would only wait for it in vain. */
  private stopGang (task: Task): void {
    for (const member of task.step.tasks.touched()) this.stopOrReset(member, 'gang-broken')
  }

  /** Prevents the placement of tasks on a worker for a while; `duration` in ms. */
  suspendWorker (worker: WorkerState, duration: number, reason: string): void {
    worker.suspendedUntil = Math.max(worker.suspendedUntil, this.options.clock.now() + duration)
    this.options.log.write(CELL_EVENTS.workerSuspended, { worker: worker.report.id, reason, duration })
  }
}

/** @returns the tasks of which the end of one as done represents all: those of its gang, or the task alone */
function membersOf (task: Task): Task[] {
  return task.step.definition.gang ? [...task.step.tasks] : [task]
}

/** Checkpoints of a gang have the same form and increase with progress, so they can be compared as strings. */
function newestCheckpoint (tasks: Iterable<Task>): string {
  let newest = ''
  for (const { checkpoint } of tasks) if (checkpoint > newest) newest = checkpoint
  return newest
}

function describeCrash ({ run, worker, certainty, isAlone }: Crash): string {
  return `run ${run} on ${worker} (${certainty}, ${isAlone ? 'alone' : 'with other jobs'})`
}

function describeOutcome (outcome: OrderOutcome): string {
  return 'reason' in outcome ? `${outcome.kind}: ${outcome.reason}` : outcome.kind
}
