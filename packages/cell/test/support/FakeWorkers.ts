import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { Clock } from '@rattanstep/core'
import { WorkerClient } from '../../src/index.js'
import type { ListedEnd, PollFault, OrderOutcome, PollOrder, RunEnding, Size, StartOrder, StopOrder, WorkerList, WorkerReport, WorkerTarget } from '../../src/index.js'
import type { NodeClock } from './NodeClock.js'

/** Duration of a call. */
const ANSWER_MS = 2
/** Timeout of an order that gets no answer. */
const TIMEOUT_MS = 500
/** Time from the order to stop a run until the run ends. */
const STOP_MS = 100
/** Interval at which workers check for ends of runs and expired leases. */
const TICK_MS = 10
/** Time after a worker has reported less capacity from which starts must respect it, as specified by the platform: contact time and one heartbeat. */
const SHRINK_GRACE_MS = 4500
/** Number of workers that may crash under a task, and number of later starts with which the task exceeds its crash budget, as specified by the platform. */
const MAX_CRASHES = 3
const STARTS_OVER_BUDGET = 3
/** Time for which the members of a gang wait for each other, as specified by the platform. */
const GANG_WAIT_MS = 3000
/** Interval at which workers check whether the other members of a gang are present. */
const GANG_CHECK_INTERVAL_MS = 50
/** Time for which a worker is down after a crash, if it comes back under its id and if it comes back under another one. */
const CRASH_DOWNTIME_MS = 3000
const REPLACEMENT_DELAY_MS = 5000
/** Longest lease that a worker accepts; longer ones are shortened. */
const LEASE_MAX_MS = 10_000
/** Time after a crash at which the worker's entry expires, if it comes back under another id. */
const ENTRY_EXPIRY_MS = 3500

interface Run {
  task: string
  run: number
  endsAt: number
  duration: number
  size: Size
  isStopping: boolean
  startedAt: number
  gang?: number
  /** Whether all members of the gang have been present. */
  isGangComplete: boolean
  crashesAt?: number
  /** Share of the task that was done when the run began. */
  done: number
}

/** Violation of a guarantee of the cell by an order. */
export interface Violation {
  /**
   * `twice`: the task already runs on a worker; `over-capacity`: the runs need more than the worker's capacity; `after-done`: the task has
   * been completed; `over-budget`: too many workers have crashed under the task.
   */
  rule: 'twice' | 'over-capacity' | 'after-done' | 'unasked' | 'over-budget'
  task: string
  worker: string
  /** Time of the violation in ms. */
  at: number
}

/** Time after its start at which a worker's entry in the instance list is written, and interval at which workers write their entries. */
const FIRST_ENTRY_DELAY_MS = 50
const HEARTBEAT_MS = 1500

/** Duration, ending and size of a task's runs. */
export interface TaskBehaviour {
  duration: number
  ending: RunEnding
  size: Size
  /** Time in ms after the start at which the run crashes its worker. */
  crashAfter?: number
  /** Whether a stopped run leaves a checkpoint, from which the next one continues. */
  checkpoints?: boolean
  /** Number of members of the task's gang, which work only together. */
  gang?: number
}

/** A worker that follows the platform's published rules. */
export class FakeWorker {
  fence = 0
  running = new Map<string, Run>()
  ended: ListedEnd[] = []
  nextEnd = 1
  leaseEnd = 0
  clockStart: number
  /** Highest number of a run that was stopped or has ended on this worker, by task. */
  readonly highestClosedRun = new Map<string, number>()
  /** Whether the worker is cut off from all nodes. Its tasks continue to run. */
  isCutOff = false
  /** Whether the worker is cut off as soon as it has carried out an order to start, before it answers. */
  isCutOffByStart = false
  /** If greater than 0, orders get no answer and are carried out after this delay in ms. */
  orderDelay = 0
  /** Speed of the runs relative to that of other workers. */
  speed = 1
  /** Whether all runs on the worker are stalled. */
  isHung = false
  /** Whether the worker has crashed and is not back. */
  isDown = false
  /** Former capacities, with the time in ms until which each counts for starts. */
  private readonly formerCapacities: Array<{ cpu: number, until: number }> = []
  private tickedAt = 0
  starts = 0

  constructor (public report: WorkerReport, private readonly fleet: FakeFleet) {
    this.clockStart = fleet.clock.now()
  }

  get now (): number {
    return this.fleet.clock.now() - this.clockStart + 1
  }

  list (): WorkerList {
    return {
      clock: this.now,
      born: this.report.born,
      running: [...this.running.values()].map(({ task, run, endsAt, duration }) => ({ task, run, checkpoint: '', percent: Math.floor(100 - 100 * (endsAt - this.tickedAt) / duration) })),
      ended: [...this.ended]
    }
  }

  start (order: StartOrder): OrderOutcome {
    const refused = this.findRefusal(order)
    if (refused !== undefined) return { kind: 'refused', reason: refused }
    if (this.running.has(order.task)) return { kind: 'taken', clock: this.now }
    const behaviour = this.fleet.behaviour(order.task)
    this.extendLease(order.leaseEnd)
    this.starts++
    if (this.isCutOffByStart) this.isCutOff = true
    this.fleet.recordStart(order.task, this)
    const { size, crashAfter, gang } = behaviour
    const duration = behaviour.duration / this.speed
    const done = Number(order.checkpoint)
    this.running.set(order.task, { task: order.task, run: order.run, startedAt: this.now, endsAt: this.now + (1 - done) * duration, duration, done, size, isStopping: false, isGangComplete: false, ...(gang === undefined ? {} : { gang }), ...(crashAfter === undefined ? {} : { crashesAt: this.now + crashAfter }) })
    this.fleet.checkCapacity(order.task, this)
    return { kind: 'taken', clock: this.now }
  }

  stop ({ task, run, fence }: { task: string, run: number, fence: number }): OrderOutcome {
    if (fence < this.fence) return { kind: 'refused', reason: 'fence' }
    this.fence = fence
    this.highestClosedRun.set(task, Math.max(run, this.highestClosedRun.get(task) ?? 0))
    const present = this.running.get(task)
    if (present?.run === run && !present.isStopping) {
      present.isStopping = true
      present.done = 1 - (present.endsAt - this.now) / present.duration
      present.endsAt = this.now + STOP_MS
    }
    return { kind: 'taken', clock: this.now }
  }

  poll ({ fence, acknowledged, leaseEnd }: { fence: number, acknowledged: number, leaseEnd?: number }): Result<WorkerList, PollFault> {
    if (fence < this.fence) return Err({ code: 'superseded', reason: 'fence' })
    this.fence = fence
    this.ended = this.ended.filter(end => end.number > acknowledged)
    if (leaseEnd !== undefined) this.extendLease(leaseEnd)
    return Ok(this.list())
  }

  private extendLease (end: number): void {
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(end, this.now + LEASE_MAX_MS))
  }

  tick (): void {
    if (this.isDown) return
    this.tickedAt = this.now
    if ([...this.running.values()].some(run => run.crashesAt !== undefined && this.now >= run.crashesAt)) return this.crash()
    if (this.now >= this.leaseEnd) this.discardUnacknowledgedEnds()
    for (const run of [...this.running.values()]) {
      if (this.isHung && !run.isStopping) run.endsAt += TICK_MS
      const gangEnding = this.advanceGang(run)
      if (this.now >= this.leaseEnd) this.finish(run, 'lapsed')
      else if (gangEnding !== undefined) this.finish(run, gangEnding)
      else if (this.now >= run.endsAt) this.finish(run, run.isStopping ? 'stopped' : this.fleet.behaviour(run.task).ending)
    }
  }

  /** Has a member of a gang wait for the others; returns how it ends if one of them is missing for good or is done. */
  private advanceGang (run: Run): RunEnding | undefined {
    if (run.gang === undefined || run.isStopping || this.fleet.clock.now() % GANG_CHECK_INTERVAL_MS >= TICK_MS) return undefined
    const { present, done } = this.fleet.countMembers(run.task, { run: run.run, gang: run.gang })
    if (done > 0) return 'done'
    if (run.isGangComplete) return present < run.gang ? 'broken' : undefined
    if (present < run.gang && this.now >= run.startedAt + GANG_WAIT_MS) return 'alone'
    run.endsAt = this.now + run.duration
    run.isGangComplete = present === run.gang
    return undefined
  }

  /** Ends the worker without a word, and starts a new incarnation under the same id after a while; `downtime` in ms. */
  crash (downtime = CRASH_DOWNTIME_MS): void {
    if (this.isDown) return
    for (const task of this.running.keys()) this.fleet.recordCrash(task)
    this.fleet.recordLoss(this.report)
    this.discardUnacknowledgedEnds()
    this.running.clear()
    this.ended = []
    this.isDown = true
    if (downtime === Infinity) return
    if (this.fleet.replacesCrashed) return this.fleet.replace(this)
    this.fleet.clock.schedule(downtime, () => {
      if (this.fleet.workers.get(this.report.id) !== this) return
      this.isDown = false
      this.restart()
    })
  }

  /** Changes the processor capacity that the worker reports; what runs is not affected. */
  setCapacity (cpu: number): void {
    this.formerCapacities.push({ cpu: this.report.capacity.cpu, until: this.fleet.clock.now() + SHRINK_GRACE_MS })
    this.report = { ...this.report, capacity: { ...this.report.capacity, cpu } }
  }

  /** @returns the capacity that the present runs use */
  get usedCapacity (): Size {
    const used = { cpu: 0, memory: 0, accelerators: 0 }
    for (const { size } of this.running.values()) {
      used.cpu += size.cpu
      used.memory += size.memory
      used.accelerators += size.accelerators
    }
    return used
  }

  /** @returns the capacity that a start must respect, in thousandths of a core */
  get bindingCapacity (): number {
    const now = this.fleet.clock.now()
    return Math.max(this.report.capacity.cpu, ...this.formerCapacities.filter(former => former.until > now).map(former => former.cpu))
  }

  /** Starts a new incarnation under the same id. */
  restart (): void {
    this.discardUnacknowledgedEnds()
    this.running.clear()
    this.ended = []
    this.nextEnd = 1
    this.fence = 0
    this.leaseEnd = 0
    this.highestClosedRun.clear()
    this.clockStart = this.fleet.clock.now()
    this.report = { ...this.report, born: this.report.born + 1 }
    this.fleet.scheduleEntry(this, FIRST_ENTRY_DELAY_MS)
  }

  /** Discards ends that were not acknowledged before the lease expired or the worker restarted. By the platform's rules, they don't count. */
  private discardUnacknowledgedEnds (): void {
    for (const end of this.ended) if (end.ending === 'done') this.fleet.done.delete(end.task)
  }

  private findRefusal (order: StartOrder): 'fence' | 'old' | 'late' | 'ticket' | undefined {
    if (order.fence < this.fence) return 'fence'
    this.fence = order.fence
    if (order.leaseEnd <= this.now) return 'late'
    if (order.run <= (this.highestClosedRun.get(order.task) ?? 0)) return 'old'
    if (order.ticket === undefined ? this.fleet.needsTicket(order.task) : !this.acceptsTicket(order.task, order.ticket)) return 'ticket'
    return undefined
  }

  /** Tickets name their step, the worker and its incarnation, and the time in ms until which they are valid. */
  private acceptsTicket (task: string, ticket: string): boolean {
    const [step, id, born, validUntil] = JSON.parse(ticket) as [string, string, number, number]
    return task.startsWith(`${step}.`) && id === this.report.id && born === this.report.born && this.fleet.clock.now() <= validUntil
  }

  private finish (run: Run, ending: RunEnding): void {
    this.running.delete(run.task)
    this.highestClosedRun.set(run.task, Math.max(run.run, this.highestClosedRun.get(run.task) ?? 0))
    this.ended.push({ number: this.nextEnd++, task: run.task, run: run.run, ending, checkpoint: ending === 'stopped' && this.fleet.behaviour(run.task).checkpoints === true ? run.done.toFixed(3) : '' })
    if (ending === 'done') this.fleet.done.add(run.task)
  }
}

/** All workers. Checks that starts of tasks violate no guarantee. */
export class FakeFleet {
  readonly workers = new Map<string, FakeWorker>()
  readonly violations: Violation[] = []
  readonly done = new Set<string>()
  /** Number of starts of each task. */
  readonly starts = new Map<string, number>()
  /** Time in ms of the first start of each task. */
  readonly firstStart = new Map<string, number>()
  /** Number of workers that have crashed under each task, and number of its starts since the last one that its budget allows. */
  readonly crashes = new Map<string, number>()
  private readonly startsOverBudget = new Map<string, number>()
  /** Crashes in order: worker and time in ms. */
  readonly losses: Array<{ worker: string, at: number }> = []
  /** Whether a crashed worker loses its entry and comes back under another id at the same address, instead of under its id. */
  replacesCrashed = false
  /** Changes the instance list: sets the entry of a worker, or removes the entry with an id. */
  list: { put: (report: WorkerReport) => void, remove: (id: string) => void } = { put: () => {}, remove: () => {} }
  /** Time in ms of the last start of any task. */
  lastStart = 0
  /** ms of processor time that each call takes; the workers share one processor, and calls wait for each other. */
  callTime = 0
  private busyUntil = 0
  /** Returns whether workers refuse an order to start a task that carries no ticket. */
  needsTicket: (task: string) => boolean = () => false

  constructor (readonly clock: Clock, readonly behaviour: (task: string) => TaskBehaviour) {
    clock.repeat(TICK_MS, () => { for (const worker of this.workers.values()) worker.tick() })
  }

  add (report: WorkerReport): FakeWorker {
    const worker = new FakeWorker(report, this)
    this.workers.set(report.id, worker)
    return worker
  }

  /** Removes a worker for good. What runs on it ends without a word. */
  remove (id: string): void {
    this.workers.get(id)?.crash(Infinity)
    this.workers.delete(id)
  }

  /** Counts the members of a task's gang that are present with a run, and those that have ended as done. */
  countMembers (task: string, { run, gang }: { run: number, gang: number }): { present: number, done: number } {
    const members = Array.from({ length: gang }, (_, index) => task.slice(0, task.lastIndexOf('.') + 1) + String(index))
    const workers = [...this.workers.values()]
    return {
      present: members.filter(member => workers.some(worker => worker.running.get(member)?.run === run)).length,
      done: members.filter(member => this.done.has(member)).length
    }
  }

  /** @returns ms after which the processor of the workers has carried out a call that arrives now */
  queueCall (): number {
    if (this.callTime === 0) return 0
    const now = this.clock.now()
    this.busyUntil = Math.max(now, this.busyUntil) + this.callTime
    return this.busyUntil - now
  }

  recordStart (task: string, worker: FakeWorker): void {
    const at = this.clock.now()
    this.starts.set(task, (this.starts.get(task) ?? 0) + 1)
    if (!this.firstStart.has(task)) this.firstStart.set(task, at)
    this.lastStart = at
    if ((this.crashes.get(task) ?? 0) >= MAX_CRASHES) this.countStartOverBudget(task, worker)
    if (this.done.has(task)) this.addViolation('after-done', task, worker)
    for (const other of this.workers.values()) if (other.running.has(task)) this.addViolation('twice', task, worker)
  }

  recordCrash (task: string): void {
    this.crashes.set(task, (this.crashes.get(task) ?? 0) + 1)
  }

  recordLoss ({ id }: WorkerReport): void {
    this.losses.push({ worker: id, at: this.clock.now() })
  }

  /** Has a worker's present incarnation write its entry, which a worker that is cut off tries again with its next heartbeat. */
  scheduleEntry (worker: FakeWorker, delay: number): void {
    const { born } = worker.report
    this.clock.schedule(delay, () => {
      if (worker.isDown || worker.report.born !== born || this.workers.get(worker.report.id) !== worker) return
      if (worker.isCutOff) this.scheduleEntry(worker, HEARTBEAT_MS)
      else this.list.put(worker.report)
    })
  }

  /** Lets a crashed worker's entry expire, and starts another worker at its address. */
  replace ({ report }: FakeWorker): void {
    this.clock.schedule(ENTRY_EXPIRY_MS, () => { this.list.remove(report.id) })
    this.clock.schedule(REPLACEMENT_DELAY_MS, () => {
      this.workers.delete(report.id)
      const successor = { ...report, id: `${report.id}+`, born: report.born + REPLACEMENT_DELAY_MS }
      this.add(successor)
      this.list.put(successor)
    })
  }

  private countStartOverBudget (task: string, worker: FakeWorker): void {
    const starts = (this.startsOverBudget.get(task) ?? 0) + 1
    this.startsOverBudget.set(task, starts)
    if (starts >= STARTS_OVER_BUDGET) this.addViolation('over-budget', task, worker)
  }

  checkCapacity (task: string, worker: FakeWorker): void {
    if (worker.usedCapacity.cpu > worker.bindingCapacity) this.addViolation('over-capacity', task, worker)
  }

  private addViolation (rule: Violation['rule'], task: string, worker: FakeWorker): void {
    this.violations.push({ rule, task, worker: worker.report.id, at: this.clock.now() })
  }
}

/** Worker client of one node. */
export class FakeWorkerClient extends WorkerClient {
  /** Ids of workers that this node can't reach. */
  readonly unreachable = new Set<string>()
  lastOrderAt = 0
  polls = 0

  constructor (private readonly fleet: FakeFleet, private readonly clock: NodeClock) {
    super()
  }

  override async start (worker: WorkerTarget, order: StartOrder): Promise<OrderOutcome> {
    this.lastOrderAt = this.clock.now()
    return await this.order(worker, target => target.start(order))
  }

  override async stop (worker: WorkerTarget, order: StopOrder): Promise<OrderOutcome> {
    return await this.order(worker, target => target.stop(order))
  }

  override async poll (worker: WorkerTarget, order: PollOrder): Promise<Result<WorkerList, PollFault>> {
    this.polls++
    const target = this.findReachable(worker)
    if (this.isReplaced(worker)) return await this.clock.deliver(ANSWER_MS, () => Err({ code: 'replaced', reason: 'another worker has answered at the address' }))
    if (target === undefined) return await this.clock.deliver(TIMEOUT_MS, () => Err({ code: 'silent', reason: 'no answer' }))
    if (target.isDown) {
      this.holdCall(target, () => { target.poll(order) })
      return await this.clock.deliver(TIMEOUT_MS, () => Err({ code: 'silent', reason: 'no answer' }))
    }
    const delay = this.fleet.queueCall()
    if (delay > TIMEOUT_MS) {
      this.fleet.clock.schedule(delay, () => { if (!target.isDown) target.poll(order) })
      return await this.clock.deliver(TIMEOUT_MS, () => Err({ code: 'silent', reason: 'no answer' }))
    }
    return await new Promise(resolve => {
      this.fleet.clock.schedule(delay + ANSWER_MS / 2, () => {
        if (target.isDown) return this.answer(resolve, () => Err({ code: 'silent', reason: 'the connection was closed' }))
        const first = target.poll(order)
        if (first.isErr() || order.wait === 0) return this.answer(resolve, () => first)
        this.waitForEnd(target, order.acknowledged, this.fleet.clock.now() + order.wait, resolve)
      })
    })
  }

  override disconnect (): void {}

  /** Holds a call back while the worker is down; its next incarnation carries the call out, whose answer is lost. */
  private holdCall (target: FakeWorker, carryOut: () => void): void {
    if (this.fleet.workers.get(target.report.id) !== target) return
    if (!target.isDown) return carryOut()
    this.fleet.clock.schedule(TICK_MS, () => { this.holdCall(target, carryOut) })
  }

  private waitForEnd (target: FakeWorker, acknowledged: number, until: number, resolve: (list: Result<WorkerList, PollFault>) => void): void {
    if (target.isDown) return this.answer(resolve, () => Err({ code: 'silent', reason: 'the connection was closed' }))
    if (target.ended.some(end => end.number > acknowledged) || this.fleet.clock.now() >= until) return this.answer(resolve, () => Ok(target.list()))
    this.fleet.clock.schedule(TICK_MS, () => { this.waitForEnd(target, acknowledged, until, resolve) })
  }

  private answer<Value> (resolve: (value: Value) => void, make: () => Value): void {
    const value = make()
    this.clock.schedule(ANSWER_MS / 2, () => { resolve(value) })
  }

  private async order (worker: WorkerTarget, carryOut: (target: FakeWorker) => OrderOutcome): Promise<OrderOutcome> {
    const target = this.findReachable(worker)
    if (this.isReplaced(worker)) return await this.clock.deliver(ANSWER_MS, () => ({ kind: 'other-incarnation' }))
    if (target?.isDown === true) {
      this.holdCall(target, () => { carryOut(target) })
      return await this.clock.deliver(TIMEOUT_MS, () => ({ kind: 'unknown', reason: 'no answer' }))
    }
    if (target === undefined || target.orderDelay > 0) {
      if (target !== undefined) this.fleet.clock.schedule(target.orderDelay, () => { if (!target.isDown) carryOut(target) })
      return await this.clock.deliver(TIMEOUT_MS, () => ({ kind: 'unknown', reason: 'no answer' }))
    }
    const delay = this.fleet.queueCall()
    if (delay > TIMEOUT_MS) {
      this.fleet.clock.schedule(delay, () => { if (!target.isDown) carryOut(target) })
      return await this.clock.deliver(TIMEOUT_MS, () => ({ kind: 'unknown', reason: 'no answer' }))
    }
    return await new Promise(resolve => {
      this.fleet.clock.schedule(delay + ANSWER_MS / 2, () => {
        const outcome: OrderOutcome = target.isDown ? { kind: 'unknown', reason: 'the connection was closed' } : carryOut(target)
        if (target.isCutOff) return this.clock.schedule(TIMEOUT_MS, () => { resolve({ kind: 'unknown', reason: 'no answer' }) })
        this.clock.schedule(ANSWER_MS / 2, () => { resolve(outcome) })
      })
    })
  }

  /** @returns whether a worker with another id answers at the worker's address */
  private isReplaced ({ id, address }: WorkerTarget): boolean {
    return !this.unreachable.has(id) && !this.fleet.workers.has(id) && [...this.fleet.workers.values()].some(other => other.report.address === address && !other.isCutOff)
  }

  private findReachable (worker: WorkerTarget): FakeWorker | undefined {
    const target = this.fleet.workers.get(worker.id)
    return target === undefined || target.isCutOff || this.unreachable.has(worker.id) ? undefined : target
  }
}
