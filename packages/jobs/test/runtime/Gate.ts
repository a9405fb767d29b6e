import { Clock, Table, Workers } from '@rattanstep/core'
import type { Instance, Range, Result, Row, TableError, TaskLease, TaskStart, Timer, Transaction, WorkerError, WorkerReport } from '@rattanstep/core'

/** Holds back everything that a node does while it is paused, and drops it once the node is dead. */
export class Gate {
  private dead = false
  private closed = false
  private waiting: Array<() => void> = []

  get isShut (): boolean {
    return this.dead || this.closed
  }

  shut (): void {
    this.closed = true
  }

  open (): void {
    this.closed = false
    for (const action of this.waiting.splice(0)) action()
  }

  kill (): void {
    this.dead = true
    this.waiting = []
  }

  run (action: () => void): void {
    if (this.dead) return
    if (this.closed) this.waiting.push(() => { this.run(action) })
    else action()
  }

  async pass (): Promise<void> {
    await new Promise<void>(resolve => { this.run(resolve) })
  }

  /** A call that may be held before it is sent and before its answer is seen. */
  async call<T> (action: () => Promise<T>): Promise<T> {
    await this.pass()
    const result = await action()
    await this.pass()
    return result
  }
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
    let cancelled = false
    const timer = this.inner.schedule(delay, () => { this.gate.run(() => { if (!cancelled) callback() }) })
    return {
      cancel: () => {
        cancelled = true
        timer.cancel()
      }
    }
  }
}

export class GatedTable extends Table {
  constructor (readonly inner: Table, readonly gate: Gate) {
    super()
  }

  override async read (keys: string[]): Promise<Result<Row[], TableError>> {
    return await this.gate.call(async () => await this.inner.read(keys))
  }

  override async list (range: Range): Promise<Result<Row[], TableError>> {
    return await this.gate.call(async () => await this.inner.list(range))
  }

  override async commit (transaction: Transaction): Promise<Result<Row[], TableError>> {
    return await this.gate.call(async () => await this.inner.commit(transaction))
  }
}

export class GatedWorkers extends Workers {
  constructor (readonly inner: Workers, readonly gate: Gate) {
    super()
  }

  override async start (worker: Instance, start: TaskStart): Promise<Result<void, WorkerError>> {
    return await this.gate.call(async () => await this.inner.start(worker, start))
  }

  override async renew (worker: Instance, leases: TaskLease[]): Promise<Result<string[], WorkerError>> {
    return await this.gate.call(async () => await this.inner.renew(worker, leases))
  }

  override async stop (worker: Instance, tasks: Array<{ task: string, fence: number }>): Promise<Result<void, WorkerError>> {
    return await this.gate.call(async () => await this.inner.stop(worker, tasks))
  }

  override async checkpoint (worker: Instance, task: { task: string, fence: number }): Promise<Result<string, WorkerError>> {
    return await this.gate.call(async () => await this.inner.checkpoint(worker, task))
  }

  override async throttle (worker: Instance, task: { task: string, fence: number }, speed: number): Promise<Result<void, WorkerError>> {
    return await this.gate.call(async () => await this.inner.throttle(worker, task, speed))
  }

  override async report (worker: Instance): Promise<Result<WorkerReport, WorkerError>> {
    return await this.gate.call(async () => await this.inner.report(worker))
  }
}
