import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { ListedRun, WorkerList } from '../types/worker.js'
import type { WorkerOrders } from '../types/ports.js'
import { CELL_EVENTS } from '../types/events.js'
import { CLOCK_RATE_MIN, LEASE_MARGIN } from '../types/limits.js'
import type { Book } from './Book.js'
import type { Task, WorkerState } from './model.js'
import { Progress } from './Progress.js'
import type { TaskLife } from './TaskLife.js'
import { detach } from './detach.js'

/** ms that a look at a worker with tasks waits for an end; a run that stands still is noticed after three. */
const LOOK_WAIT = 600
/** ms between looks at an idle worker. */
const IDLE_PERIOD = 1000
/** ms between looks at a worker that does not answer. */
const SILENT_PERIOD = 250
/** ms between looks while ends can't be recorded; leases must still be renewed. */
const UNRECORDED_PERIOD = 800
/** ms between two looks at least, so that ends close together are taken in at once. */
const LOOK_GAP = 10
/** ms for which a worker is given nothing after a run there stood still; hanging workers do so for about five seconds. */
const STILL_REST = 3000
/** ms between attempts to stop a run. */
const STOP_RETRY = 300

/** What the watch over workers needs. */
export interface WorkerWatchOptions {
  book: Book
  orders: WorkerOrders
  clock: Clock
  log: Log
  fence: number
  /** Length of a lease in ms. */
  lease: number
  /** Whether leases may be renewed: the term was confirmed lately. */
  mayRenew: () => boolean
  changed: () => void
  /** An order was answered with a higher token than ours. */
  outrun: () => void
}

/** Looks at every worker: renews leases, takes ends in, notices silence and new incarnations. */
export class WorkerWatch {
  private readonly watched = new Set<WorkerState>()
  private readonly wakers = new Map<WorkerState, () => void>()
  private readonly progress = new Progress()
  private stopped = false
  private life!: TaskLife

  constructor (private readonly options: WorkerWatchOptions) {}

  /** @param life - takes what the watch sees */
  join (life: TaskLife): void {
    this.life = life
  }

  /** Begins to look at a worker. */
  watch (worker: WorkerState): void {
    if (this.watched.has(worker)) return
    this.watched.add(worker)
    detach(this.run(worker), this.options.log, 'look')
  }

  /** Looks at a worker without waiting for the period. */
  wake (worker: WorkerState): void {
    this.wakers.get(worker)?.()
  }

  stop (): void {
    this.stopped = true
    for (const wake of this.wakers.values()) wake()
  }

  /** @returns lease end for an order sent now, on the worker's clock; notes when it has run out for certain */
  lease (worker: WorkerState): number {
    const { clock, lease } = this.options
    const now = clock.now()
    worker.leaseOver = Math.max(worker.leaseOver, now + lease / CLOCK_RATE_MIN + LEASE_MARGIN)
    return Math.floor(worker.clock.value + (now - worker.clock.at) * CLOCK_RATE_MIN + lease)
  }

  /** Stops a run, again and again until its worker answers or the run is known to be over. */
  async stopRun (task: Task): Promise<void> {
    const { worker, run } = task
    const { orders, clock, fence } = this.options
    if (worker === undefined) return
    for (;;) {
      if (this.stopped || task.worker !== worker || task.run !== run || task.phase !== 'stopping') return
      const outcome = await orders.stop(worker.report, { task: task.name, run, fence })
      if (outcome.kind === 'taken') {
        task.stoppedAt = clock.now()
        this.wake(worker)
        return
      }
      if (outcome.kind === 'refused' && outcome.reason === 'fence') this.options.outrun()
      await clock.sleep(STOP_RETRY)
    }
  }

  private async run (worker: WorkerState): Promise<void> {
    while (!this.stopped && this.isNeeded(worker)) {
      const pause = await this.look(worker)
      if (this.stopped) return
      await this.pause(worker, pause)
    }
    this.watched.delete(worker)
    if (this.stopped) return
    this.options.book.workers.delete(worker.report.id)
    this.options.orders.forget(worker.report)
  }

  private isNeeded (worker: WorkerState): boolean {
    return worker.listed || worker.tasks.size > 0 || worker.reachable
  }

  /** @returns ms until the next look */
  private async look (worker: WorkerState): Promise<number> {
    const { orders, clock, fence, mayRenew } = this.options
    const sentAt = clock.now()
    const fresh = worker.clock.at > 0
    const unrecorded = worker.unrecorded.size > 0
    // A look at a silent worker may be carried out late, so it must not lengthen leases that are being waited out.
    const leaseEnd = fresh && worker.reachable && mayRenew() ? this.lease(worker) : undefined
    const wait = worker.reachable && fresh && worker.tasks.size > 0 && !unrecorded ? LOOK_WAIT : 0
    const answer = await orders.look(worker.report, { fence, acknowledged: acknowledgedEnd(worker), leaseEnd, wait })
    if (this.stopped) return 0
    if (answer.isErr()) {
      if (answer.error.code === 'outrun') this.options.outrun()
      this.missed(worker, answer.error.reason)
      return SILENT_PERIOD
    }
    this.take(worker, answer.value, sentAt)
    if (!fresh) return 0
    if (worker.unrecorded.size > 0) return UNRECORDED_PERIOD
    return worker.tasks.size > 0 ? LOOK_GAP : IDLE_PERIOD
  }

  private async pause (worker: WorkerState, duration: number): Promise<void> {
    if (duration === 0) return
    await new Promise<void>(resolve => {
      const timer = this.options.clock.schedule(duration, resolve)
      this.wakers.set(worker, () => {
        timer.cancel()
        resolve()
      })
    })
    this.wakers.delete(worker)
  }

  private missed (worker: WorkerState, reason: string): void {
    const { clock, log, changed } = this.options
    const now = clock.now()
    if (worker.reachable || !worker.known) {
      if (worker.reachable) log.write(CELL_EVENTS.workerSilent, { worker: worker.report.id, reason, tasks: worker.tasks.size, leaseLeft: Math.round(worker.leaseOver - now) })
      worker.reachable = false
    }
    if (now < worker.leaseOver || worker.tasks.size === 0) return
    for (const task of [...worker.tasks.values()]) this.life.lost(task, 'lease ran out')
    changed()
  }

  private take (worker: WorkerState, list: WorkerList, sentAt: number): void {
    const { clock, log, changed } = this.options
    if (list.born !== worker.report.born) this.reborn(worker, list.born)
    if (!worker.reachable) {
      log.write(CELL_EVENTS.workerGained, { worker: worker.report.id, running: list.running.length, after: worker.known ? Math.round(clock.now() - worker.clock.at) : 0 })
      changed()
    }
    worker.reachable = true
    worker.known = true
    worker.clock = { value: list.clock, at: clock.now() }
    this.takeEnds(worker, list)
    this.takeRuns(worker, list.running)
    this.takeAbsences(worker, list, sentAt)
  }

  private takeEnds (worker: WorkerState, list: WorkerList): void {
    for (const end of list.ended) {
      if (end.number <= worker.seenEnd) continue
      worker.seenEnd = end.number
      const task = this.options.book.findTask(end.task)
      if (task === undefined || task.worker !== worker || task.run !== end.run) continue
      worker.unrecorded.add(end.number)
      this.life.ended(task, end, worker)
      this.recordEnd(worker, task, end.number)
    }
  }

  private recordEnd (worker: WorkerState, task: Task, number: number): void {
    this.onRecord(task, () => {
      worker.unrecorded.delete(number)
      if (worker.unrecorded.size === 0) this.wake(worker)
    })
  }

  /** Set by the decider: runs `then` once the task's state is on record. */
  onRecord: (task: Task, then: () => void) => void = () => {}

  private takeRuns (worker: WorkerState, running: ListedRun[]): void {
    let strangers = 0
    for (const listed of running) {
      const task = this.options.book.findTask(listed.task)
      if (task === undefined || task.worker !== worker || task.run !== listed.run) {
        strangers++
        this.stopStranger(worker, listed)
        continue
      }
      if (listed.checkpoint !== '') task.checkpoint = listed.checkpoint
      if (task.phase === 'assumed' || task.phase === 'ordered') this.adopt(task)
      const still = this.progress.note(task, listed, worker, this.options.clock.now())
      if (still && task.phase === 'running') this.leave(task, worker)
    }
    worker.strangers = strangers
    if (running.length === 0) this.progress.forgive(worker)
    worker.slow = this.progress.isSlow(worker)
  }

  /** Starts a run that stands still elsewhere, and lets its worker rest. */
  private leave (task: Task, worker: WorkerState): void {
    this.progress.forget(task)
    this.life.restWorker(worker, STILL_REST, 'a run stands still')
    this.life.stopRun(task, 'stands still')
  }

  private adopt (task: Task): void {
    const { job } = task.step.unit
    task.takenAt = this.options.clock.now()
    if (job.phase === 'open') task.phase = 'running'
    else this.life.stopRun(task, job.phase)
  }

  private stopStranger (worker: WorkerState, listed: ListedRun): void {
    const { log, orders, fence, clock } = this.options
    log.write(CELL_EVENTS.stranger, { task: listed.task, run: listed.run, worker: worker.report.id })
    detach(orders.stop(worker.report, { task: listed.task, run: listed.run, fence }).then(async () => {
      await clock.sleep(STOP_RETRY)
      this.wake(worker)
    }), log, 'stop')
  }

  /** What a list leaves out is over, if the list was asked for after the run's order was settled. */
  private takeAbsences (worker: WorkerState, list: WorkerList, sentAt: number): void {
    if (list.ended.length >= ENDS_MAX) return
    const present = new Set(list.running.map(listed => listed.task))
    for (const task of [...worker.tasks.values()]) {
      if (present.has(task.name)) continue
      if (task.phase === 'assumed') this.life.lost(task, 'not on its worker')
      else if ((task.phase === 'running' || task.phase === 'done') && task.takenAt < sentAt) this.life.lost(task, 'vanished from its worker')
      else if (task.phase === 'stopping' && task.stoppedAt > 0 && task.stoppedAt < sentAt) this.life.lost(task, 'stopped')
    }
  }

  /** Runs of the former incarnation are left out of the list, which settles them; a run that is listed was started in the new one. */
  private reborn (worker: WorkerState, born: number): void {
    const first = worker.report.born === 0
    worker.report = { ...worker.report, born }
    if (first) return
    this.options.log.write(CELL_EVENTS.workerReborn, { worker: worker.report.id, born })
    worker.seenEnd = 0
    worker.unrecorded.clear()
    worker.clock = { value: 0, at: 0 }
  }
}

/** Ends in one list at most; the platform's pages. */
const ENDS_MAX = 500

/** @returns number up to which all ends of a worker are on record */
function acknowledgedEnd (worker: WorkerState): number {
  let lowest = worker.seenEnd
  for (const number of worker.unrecorded) lowest = Math.min(lowest, number - 1)
  return lowest
}
