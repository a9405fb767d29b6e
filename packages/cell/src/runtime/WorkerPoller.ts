import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Result } from 'ts-results-es'
import type { ListedRun, WorkerList } from '../types/worker.js'
import type { PollFault, WorkerClient } from '../types/ports.js'
import { CELL_EVENTS } from '../types/events.js'
import { FENCE_STEP } from '../types/limits.js'
import { incarnationTag } from './CrashBudget.js'
import type { CrashLedger } from './CrashLedger.js'
import type { Registry } from './Registry.js'
import type { JobState, Task, WorkerState } from './model.js'
import { ProgressMonitor } from './ProgressMonitor.js'
import type { WorkerSpeeds } from '../speeds/WorkerSpeeds.js'
import type { TaskLifecycle } from './TaskLifecycle.js'
import { detach } from './detach.js'
import { jobIdOf } from './taskName.js'
import { repeatWhile } from './repeatWhile.js'
import { acknowledgedEnd, WorkerEnds } from './WorkerEnds.js'
import type { WorkerLeases } from './WorkerLeases.js'

/** Time for which a worker with tasks may hold back its answer to a poll until a run ends. A stalled run is detected after three polls. */
const POLL_WAIT_MS = 600
/** Interval between polls of an idle worker. */
const IDLE_POLL_INTERVAL_MS = 1000
/** Interval between polls of a worker that does not answer. */
const UNREACHABLE_POLL_INTERVAL_MS = 250
/** Interval between polls of a worker whose ends are not yet recorded. It is polled nevertheless, because its leases must be renewed. */
const UNRECORDED_POLL_INTERVAL_MS = 800
/** Minimum interval between polls of a worker, so that one poll covers ends in quick succession. */
const MIN_POLL_GAP_MS = 10
/** Time for which no tasks are placed on a worker after a stalled run; workers hang for about five seconds. */
const STALL_SUSPENSION_MS = 3000
/** Maximum time by which the answer to an order is older than the last list: answers overtake each other, and orders have a timeout of less than this. */
const MAX_ANSWER_DELAY_MS = 1000
/** Delay before the first repeat of an order to stop a run; it doubles with every further repeat up to the maximum. */
const STOP_RETRY_DELAY_MS = 300
const MAX_STOP_RETRY_DELAY_MS = 1200

/** Options and callbacks of a worker poller. */
export interface WorkerPollerOptions {
  registry: Registry
  workers: WorkerClient
  clock: Clock
  log: Log
  fence: number
  crashes: CrashLedger
  leases: WorkerLeases
  /** Speeds of the workers, learned from the runs that complete. */
  speeds: WorkerSpeeds
  /** Records the job's state together with other changes or after a moment. */
  recordSoon: (job: JobState) => void
  /** Returns whether leases may be renewed: the term was confirmed recently, or no other node can have claimed it. */
  canRenewLeases: () => boolean
  /** Records the task's state, then calls `then`. */
  recordTask: (task: Task, then: () => void) => void
  /** Has an accepted job loaded that waits in the store; returns whether it is one. */
  loadDeferred: (id: string) => boolean
  /** Called after changes that may allow other tasks to start. */
  onChange: () => void
  /** Called when a worker has seen a higher fencing token than this decider's. */
  onNewerTerm: () => void
}

/** A poll as it was sent. */
interface SentPoll {
  /** Monotonic ms. */
  sentAt: number
  /** Number of new incarnations of the worker that had been noticed. */
  generation: number
  /** Whether the worker's clock was proven. */
  isProven: boolean
}

/** Polls every worker: renews leases, handles ends of runs, and detects unreachable workers, lost runs and new incarnations. */
export class WorkerPoller {
  private readonly polled = new Set<WorkerState>()
  private readonly wakeCallbacks = new Map<WorkerState, () => void>()
  /** Callbacks that wait for the outcome of the next poll of a worker. */
  private readonly pollCallbacks = new Map<WorkerState, Array<() => void>>()
  private readonly progress = new ProgressMonitor()
  private isStopped = false
  private lifecycle!: TaskLifecycle
  private readonly ends: WorkerEnds

  constructor (private readonly options: WorkerPollerOptions) {
    this.ends = new WorkerEnds({ ...options, lifecycle: () => this.lifecycle, onRecorded: worker => { this.pollNow(worker) } })
  }

  /** @param lifecycle - handles the ends and losses of runs that the poller detects */
  setLifecycle (lifecycle: TaskLifecycle): void {
    this.lifecycle = lifecycle
  }

  /** Starts to poll a worker, unless it is polled already. */
  startPolling (worker: WorkerState): void {
    if (this.polled.has(worker)) return
    this.polled.add(worker)
    detach(this.pollRepeatedly(worker), this.options.log, 'look')
  }

  /** Polls a worker now instead of at the end of its interval. */
  pollNow (worker: WorkerState): void {
    this.wakeCallbacks.get(worker)?.()
  }

  /** Handles what workers have listed of a job that was loaded, before anything of it is placed. */
  handleLoaded (id: string): void {
    this.ends.handleLoaded(id)
  }

  stop (): void {
    this.isStopped = true
    for (const wake of this.wakeCallbacks.values()) wake()
    for (const worker of this.pollCallbacks.keys()) this.releaseProofs(worker)
  }

  /** Polls a worker that may have restarted unnoticed, so that its clock is proven by the time at which a start is ordered. */
  prepareStart (worker: WorkerState): void {
    if (!this.options.leases.isClockProven(worker)) this.pollNow(worker)
  }

  /** @returns whether the worker's clock is proven, if necessary by a poll */
  async proveClock (worker: WorkerState): Promise<boolean> {
    const { leases } = this.options
    if (leases.isClockProven(worker)) return true
    const polled = new Promise<void>(resolve => { this.pollCallbacks.set(worker, [...this.pollCallbacks.get(worker) ?? [], resolve]) })
    this.pollNow(worker)
    await polled
    return !this.isStopped && worker.isReachable && leases.isClockProven(worker)
  }

  private releaseProofs (worker: WorkerState): void {
    const callbacks = this.pollCallbacks.get(worker) ?? []
    this.pollCallbacks.delete(worker)
    for (const resolve of callbacks) resolve()
  }

  /** Handles an entry of the instance list; `born` is the start of the incarnation that wrote it, in ms since 1970. */
  noteListed (worker: WorkerState, born: number): void {
    if (born > worker.report.born && worker.report.born > 0) this.noteNewIncarnation(worker, born)
  }

  /** Handles the value of a worker's clock in the answer to an order. The clock of a new incarnation starts anew. */
  noteClock (worker: WorkerState, value: number): void {
    if (value > 0 && value < worker.clock.value - MAX_ANSWER_DELAY_MS) this.noteNewIncarnation(worker)
  }

  /** @returns fencing token of orders to the worker's present incarnation */
  fenceOf ({ generation }: WorkerState): number {
    return this.options.fence + generation
  }

  /**
   * What is known of the former incarnation doesn't hold for the new one, which the next poll describes. An incarnation that is noticed by its entry and then by
   * its list counts once; `born`: its start in ms since 1970, if it is known.
   */
  private noteNewIncarnation (worker: WorkerState, born = Infinity): void {
    this.ends.forget(worker)
    this.options.leases.forgetClock(worker)
    if (born <= worker.noticedIncarnation) return
    if (born < Infinity) worker.noticedIncarnation = born
    worker.generation = Math.min(worker.generation + 1, FENCE_STEP - 1)
    // A successor must know of the longer lease.
    for (const task of worker.tasks.values()) this.options.recordSoon(task.step.occurrence.job)
  }

  /** Stops a run that is no longer needed, with retries until its worker takes the order or the run is known to have ended. */
  async stopRun (task: Task): Promise<void> {
    const { worker, run } = task
    const { workers, clock } = this.options
    if (worker === undefined) return
    for (let delay = STOP_RETRY_DELAY_MS; ; delay = Math.min(MAX_STOP_RETRY_DELAY_MS, 2 * delay)) {
      if (this.isStopped || task.worker !== worker || task.run !== run || (task.phase !== 'stopping' && task.phase !== 'done')) return
      const { generation } = worker
      const outcome = await workers.stop(worker.report, { task: task.name, run, fence: this.fenceOf(worker) })
      if (outcome.kind === 'taken') {
        task.stopConfirmedAt = clock.now()
        this.pollNow(worker)
        return
      }
      if (outcome.kind === 'refused' && outcome.reason === 'fence' && generation === worker.generation) this.options.onNewerTerm()
      await clock.sleep(delay)
    }
  }

  private async pollRepeatedly (worker: WorkerState): Promise<void> {
    const { clock, log } = this.options
    await repeatWhile(() => !this.isStopped && this.isNeeded(worker), async () => {
      const pause = await this.poll(worker)
      if (!this.isStopped) await this.waitForNextPoll(worker, pause)
    }, { clock, log, step: 'look' })
    this.polled.delete(worker)
    if (this.isStopped) return
    this.options.registry.workers.delete(worker.report.id)
    this.options.speeds.forget(worker.report.id)
    this.options.workers.disconnect(worker.report)
  }

  private isNeeded (worker: WorkerState): boolean {
    return worker.isListed || worker.tasks.size > 0 || worker.isReachable
  }

  /** @returns ms until the next poll */
  private async poll (worker: WorkerState): Promise<number> {
    const { workers, clock, canRenewLeases, leases } = this.options
    const sentAt = clock.now()
    const { generation } = worker
    // No lease is sent to a worker that may have restarted: by the former clock it could outlast what this decider or a successor counts on. Nor to an
    // unreachable one, which may handle the poll late and extend leases whose expiry the decider waits for.
    const isProven = worker.isReachable && leases.isClockProven(worker)
    const leaseEnd = isProven && canRenewLeases() ? leases.extend(worker, 'poll') : undefined
    const wait = isProven && worker.tasks.size > 0 && !hasUnacknowledgedEnds(worker) ? POLL_WAIT_MS : 0
    worker.pollSentAt = sentAt
    // A worker that may have restarted would forget ends of its new incarnation that nobody has read.
    const acknowledged = isProven ? acknowledgedEnd(worker) : 0
    const answer = await workers.poll(worker.report, { fence: this.fenceOf(worker), acknowledged, leaseEnd, wait })
    worker.pollSentAt = 0
    if (answer.isOk()) worker.lastAcknowledgedEnd = Math.max(worker.lastAcknowledgedEnd, acknowledged)
    if (leaseEnd !== undefined && (answer.isOk() || answer.error.code !== 'silent')) leases.settle(worker, sentAt)
    if (this.isStopped) return 0
    const pause = this.handleAnswer(worker, answer, { sentAt, generation, isProven })
    this.releaseProofs(worker)
    return pause
  }

  /** @returns ms until the next poll */
  private handleAnswer (worker: WorkerState, answer: Result<WorkerList, PollFault>, poll: SentPoll): number {
    if (answer.isErr()) {
      // The next poll carries the token of the new incarnation that was noticed meanwhile.
      if (answer.error.code === 'superseded' && poll.generation < worker.generation) return 0
      if (answer.error.code === 'superseded') this.options.onNewerTerm()
      this.handlePollFailure(worker, answer.error)
      return UNREACHABLE_POLL_INTERVAL_MS
    }
    this.handleList(worker, answer.value, poll)
    // The incarnation that has answered has not yet seen its fencing token.
    if (worker.clock.at === 0) return 0
    if (worker.tasks.size === 0 && worker.lastAcknowledgedEnd === acknowledgedEnd(worker)) return IDLE_POLL_INTERVAL_MS
    // The answer proves the clock only for a moment.
    if (!poll.isProven) return 0
    return hasUnacknowledgedEnds(worker) ? UNRECORDED_POLL_INTERVAL_MS : MIN_POLL_GAP_MS
  }

  private async waitForNextPoll (worker: WorkerState, duration: number): Promise<void> {
    if (duration === 0) return
    await new Promise<void>(resolve => {
      const timer = this.options.clock.schedule(duration, resolve)
      this.wakeCallbacks.set(worker, () => {
        timer.cancel()
        resolve()
      })
    })
    this.wakeCallbacks.delete(worker)
  }

  private handlePollFailure (worker: WorkerState, { code, reason }: PollFault): void {
    const { clock, log, onChange, crashes, leases } = this.options
    const now = clock.now()
    if (worker.isReachable || !worker.hasAnswered) {
      if (worker.isReachable) log.write(CELL_EVENTS.workerUnreachable, { worker: worker.report.id, reason, tasks: worker.tasks.size, ...leases.describe(worker) })
      worker.isReachable = false
      this.options.registry.endPresence(worker)
      crashes.noteLost(worker)
    }
    if (code === 'replaced') {
      worker.isReplaced = true
      crashes.noteReplaced(worker.report.id)
    }
    if (now < worker.leasesExpireAt || worker.tasks.size === 0) return
    crashes.chargeSilent(worker)
    for (const task of [...worker.tasks.values()]) this.lifecycle.handleLostRun(task, 'lease ran out')
    onChange()
  }

  private handleList (worker: WorkerState, list: WorkerList, { sentAt, generation }: SentPoll): void {
    const { clock, log, onChange, crashes, leases } = this.options
    crashes.noteIncarnation(worker.report.id, list.born)
    if (list.born !== worker.report.born) this.handleRestart(worker, list.born)
    if (!worker.isReachable) {
      log.write(CELL_EVENTS.workerReachable, { worker: worker.report.id, running: list.running.length, after: worker.hasAnswered ? Math.round(clock.now() - worker.clock.at) : 0 })
      onChange()
    }
    worker.isReachable = true
    worker.isReplaced = false
    worker.isLossNoted = false
    worker.hasAnswered = true
    if (generation === worker.generation) {
      worker.clock = { value: list.clock, at: clock.now() }
      leases.limitBound(worker)
    }
    this.ends.handle(worker, list)
    this.handleRuns(worker, list)
    crashes.chargeFormer(worker, list.born)
    // Until the incarnation has seen its fencing token, a late order may still start a run that it doesn't list yet.
    if (generation === worker.generation) this.handleAbsentRuns(worker, list, sentAt)
  }

  private handleRuns (worker: WorkerState, { running, born }: WorkerList): void {
    let unknownRuns = 0
    for (const listed of running) {
      const task = this.options.registry.findTask(listed.task)
      if (task === undefined || task.worker !== worker || task.run !== listed.run) {
        unknownRuns++
        // What to do with the run is decided once the decider holds the job.
        if (task === undefined && this.options.loadDeferred(jobIdOf(listed.task))) continue
        this.stopUnknownRun(worker, listed)
        continue
      }
      task.incarnation = incarnationTag(born)
      this.lifecycle.noteBegun(task)
      if (listed.checkpoint !== '') task.checkpoint = listed.checkpoint
      if (task.phase === 'assumed' || task.phase === 'ordered') this.confirmRun(task)
      const isStalled = this.progress.update(task, listed, worker, this.options.clock.now())
      if (isStalled && task.phase === 'running') this.restartElsewhere(task, worker)
    }
    worker.unknownRuns = unknownRuns
    if (running.length === 0) this.progress.resetSpeed(worker)
    worker.isSlow = this.progress.isSlow(worker)
  }

  /** Stops a stalled run, so that its task is placed again, and suspends the worker. */
  private restartElsewhere (task: Task, worker: WorkerState): void {
    this.progress.forget(task)
    this.lifecycle.suspendWorker(worker, STALL_SUSPENSION_MS, 'a run stands still')
    this.lifecycle.stopRun(task, 'stands still')
  }

  private confirmRun (task: Task): void {
    const { job } = task.step.occurrence
    task.confirmedAt = this.options.clock.now()
    if (job.phase === 'open') task.phase = 'running'
    else this.lifecycle.stopRun(task, job.phase)
  }

  private stopUnknownRun (worker: WorkerState, listed: ListedRun): void {
    const { log, workers, clock } = this.options
    const task = this.options.registry.findTask(listed.task)
    log.write(CELL_EVENTS.runUnknown, { task: listed.task, run: listed.run, worker: worker.report.id, born: worker.report.born, lastRun: task?.run ?? 0, lastWorker: task?.worker?.report.id, ...this.options.leases.describe(worker) })
    detach(workers.stop(worker.report, { task: listed.task, run: listed.run, fence: this.fenceOf(worker) }).then(async () => {
      await clock.sleep(STOP_RETRY_DELAY_MS)
      this.pollNow(worker)
    }), log, 'stop')
  }

  /** Handles runs that are not in the worker's list. They have ended if the poll was sent after the order to start or stop was answered. */
  private handleAbsentRuns (worker: WorkerState, list: WorkerList, sentAt: number): void {
    if (list.ended.length >= MAX_LISTED_ENDS) return
    const present = new Set(list.running.map(listed => listed.task))
    for (const task of [...worker.tasks.values()]) {
      if (present.has(task.name)) continue
      if (task.phase === 'assumed') this.lifecycle.handleLostRun(task, 'not on its worker')
      else if ((task.phase === 'running' || task.phase === 'done') && task.confirmedAt < sentAt) this.lifecycle.handleLostRun(task, 'vanished from its worker')
      else if (task.phase === 'ordered' && task.isUnanswered && task.orderSentAt < sentAt) this.lifecycle.stopRun(task, 'start-unanswered')
      else if (task.phase === 'stopping' && task.stopConfirmedAt > 0 && task.stopConfirmedAt < sentAt) this.lifecycle.handleLostRun(task, 'stopped')
    }
  }

  /**
   * Handles a new incarnation of a worker. Its list doesn't contain runs of the former incarnation, which then count as lost; a listed run
   * was started in the new one.
   */
  private handleRestart (worker: WorkerState, born: number): void {
    const isFirstAnswer = worker.report.born === 0
    worker.report = { ...worker.report, born }
    if (isFirstAnswer) {
      worker.noticedIncarnation = born
      return
    }
    this.options.registry.endPresence(worker)
    this.options.crashes.noteLost(worker)
    this.options.log.write(CELL_EVENTS.workerRestarted, { worker: worker.report.id, born })
    this.noteNewIncarnation(worker, born)
  }
}

/** Maximum number of ends in one list, as specified by the platform. A list of this size may be incomplete. */
const MAX_LISTED_ENDS = 500

/** @returns whether ends that the worker has listed can't be acknowledged yet */
function hasUnacknowledgedEnds ({ unrecordedEnds, deferredEnds }: WorkerState): boolean {
  return unrecordedEnds.size > 0 || deferredEnds.size > 0
}
