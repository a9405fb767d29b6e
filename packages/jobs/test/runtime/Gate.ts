import { Clock, Err, Table, WorkerClient } from '@rattanstep/core'
import type { Instance, Range, Result, Row, TableError, TaskLease, TaskStart, Timer, Transaction, WorkerError, WorkerReport } from '@rattanstep/core'

/** A fault injected into one call. `lost`: the call takes effect and its answer is lost; `late`: the call takes effect 800 ms later and its answer is lost. */
export type CallFault = 'lost' | 'late' | null

/** Chooses the fault for a call. Called before and after each call; it may also pause or kill the gate. */
export type FaultInjector = (step: string, phase: 'before' | 'after') => CallFault

const LATE_DELAY_MS = 800
/** Microtask turns between two queued actions when the gate resumes. */
const MICROTASK_TURNS = 200

/** Queues all actions of a node while the node is paused, and drops them once the node is killed. */
export class Gate {
  private isKilled = false
  private isPaused = false
  private queue: Array<() => void> = []

  get isBlocking (): boolean {
    return this.isKilled || this.isPaused
  }

  pause (): void {
    this.isPaused = true
  }

  resume (): void {
    this.isPaused = false
    this.drain(this.queue.splice(0)).catch(() => {})
  }

  /** Runs the microtasks that follow from each queued action before the next action, as a resumed process may. */
  private async drain (actions: Array<() => void>): Promise<void> {
    for (const action of actions) {
      this.run(action)
      for (let turn = 0; turn < MICROTASK_TURNS; turn++) await Promise.resolve()
    }
  }

  kill (): void {
    this.isKilled = true
    this.queue = []
  }

  run (action: () => void): void {
    if (this.isKilled) return
    if (this.isPaused) this.queue.push(() => { this.run(action) })
    else action()
  }

  async waitUntilResumed (): Promise<void> {
    await new Promise<void>(resolve => { this.run(resolve) })
  }

  inject: FaultInjector = () => null

  /** Performs a call. It waits at the gate before it is sent and again before its answer is returned. */
  async call<T, E> (clock: Clock, step: string, action: () => Promise<Result<T, E>>, lostError: E): Promise<Result<T, E>> {
    await this.waitUntilResumed()
    const before = this.inject(step, 'before')
    await this.waitUntilResumed()
    if (before === 'late') {
      clock.schedule(LATE_DELAY_MS, () => { action().catch(() => {}) })
      return Err(lostError)
    }
    const result = await action()
    const after = this.inject(step, 'after')
    await this.waitUntilResumed()
    return after === 'lost' || before === 'lost' ? Err(lostError) : result
  }
}

const LOST_READ: TableError = { fault: 'unavailable', message: 'the answer was lost' }
const LOST_WRITE: TableError = { fault: 'unknown', message: 'the answer was lost' }
const LOST_COMMAND: WorkerError = { fault: 'unknown', message: 'the answer was lost' }

/** Derives the purpose of a transaction from the rows that it writes. */
export function classifyTransaction (transaction: Transaction): string {
  const texts = transaction.writes.map(write => write.value ?? '')
  if (transaction.writes.some(write => write.key.startsWith('keeper/'))) return 'claim'
  if (transaction.writes.some(write => write.key.startsWith('open/'))) return texts.includes('') ? 'close' : 'submit'
  if (transaction.writes.some(write => write.key.startsWith('job/'))) return 'cancel job'
  const states = ['failed', 'placed', 'done', 'cancelling', 'cancelled', 'vacating', 'parked', 'pending']
  return states.find(state => texts.some(text => text.includes(`"state":"${state}"`))) ?? 'other'
}

export class GatedClock extends Clock {
  constructor (readonly inner: Clock, readonly gate: Gate) {
    super()
  }

  override now (): number {
    return this.inner.now()
  }

  override wall (): number {
    return this.inner.wall()
  }

  override schedule (delay: number, callback: () => void): Timer {
    let isCancelled = false
    const timer = this.inner.schedule(delay, () => { this.gate.run(() => { if (!isCancelled) callback() }) })
    return {
      cancel: () => {
        isCancelled = true
        timer.cancel()
      }
    }
  }
}

export class GatedTable extends Table {
  constructor (readonly inner: Table, readonly gate: Gate, readonly clock: Clock) {
    super()
  }

  override async read (keys: string[]): Promise<Result<Row[], TableError>> {
    return await this.gate.call(this.clock, 'read', async () => await this.inner.read(keys), LOST_READ)
  }

  override async list (range: Range): Promise<Result<Row[], TableError>> {
    return await this.gate.call(this.clock, 'list', async () => await this.inner.list(range), LOST_READ)
  }

  override async commit (transaction: Transaction): Promise<Result<Row[], TableError>> {
    return await this.gate.call(this.clock, classifyTransaction(transaction), async () => await this.inner.commit(transaction), LOST_WRITE)
  }
}

export class GatedWorkers extends WorkerClient {
  /** Workers that this node cannot reach, although other nodes may. */
  readonly unreachableWorkers = new Set<string>()

  constructor (readonly inner: WorkerClient, readonly gate: Gate, readonly clock: Clock) {
    super()
  }

  override async start (worker: Instance, start: TaskStart): Promise<Result<void, WorkerError>> {
    return await this.call(worker, 'start', async () => await this.inner.start(worker, start))
  }

  override async renew (worker: Instance, leases: TaskLease[]): Promise<Result<string[], WorkerError>> {
    return await this.call(worker, 'renew', async () => await this.inner.renew(worker, leases))
  }

  override async stop (worker: Instance, tasks: Array<{ task: string, fence: number }>): Promise<Result<void, WorkerError>> {
    return await this.call(worker, 'stop', async () => await this.inner.stop(worker, tasks))
  }

  override async checkpoint (worker: Instance, task: { task: string, fence: number }): Promise<Result<string, WorkerError>> {
    return await this.call(worker, 'checkpoint', async () => await this.inner.checkpoint(worker, task))
  }

  override async throttle (worker: Instance, task: { task: string, fence: number }, speed: number): Promise<Result<void, WorkerError>> {
    return await this.call(worker, 'throttle', async () => await this.inner.throttle(worker, task, speed))
  }

  override async report (worker: Instance): Promise<Result<WorkerReport, WorkerError>> {
    return await this.call(worker, 'report', async () => await this.inner.report(worker))
  }

  private async call<T> (worker: Instance, step: string, action: () => Promise<Result<T, WorkerError>>): Promise<Result<T, WorkerError>> {
    return await this.gate.call(this.clock, step, async () => {
      if (this.unreachableWorkers.has(worker.id)) return Err({ fault: 'unreachable', message: 'the worker is unreachable from this node' })
      return await action()
    }, LOST_COMMAND)
  }
}
