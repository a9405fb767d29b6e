import { Err, Ok, WorkerClient } from '@rattanstep/core'
import type { Clock, Instance, ObjectStore, Result, TaskLease, TaskStart, WorkerError, WorkerReport } from '@rattanstep/core'
import type { TaskRun } from '../types/run.js'
import { TaskHost } from './TaskHost.js'
import type { TaskName } from './TaskHost.js'

/** How a worker can be reached. */
export interface WorkerFaults {
  /** No command gets there. */
  unreachable: boolean
  /** Commands take effect and their answers are lost. */
  loseAnswers: boolean
  /** Milliseconds before a command takes effect. */
  slow: number
  /** Commands are answered `unknown` and take effect this many ms later; 0 turns it off. */
  late: number
  /** Commands are kept and take effect only when the fault ends. */
  hung: boolean
}

interface Entry {
  host: TaskHost
  faults: WorkerFaults
  waiting: Array<() => void>
  last: WorkerReport
  lastAt: number
}

/** Workers kept in memory, running their tasks on a clock. */
export class MemoryWorkers extends WorkerClient {
  /** Milliseconds by which reports are late. */
  reportLag: number
  private readonly clock: Clock
  private readonly objects: ObjectStore | undefined
  private readonly entries = new Map<string, Entry>()

  /**
   * @param options - `clock`: runs the tasks; `objects`: where checkpoints go; `reportLag`: ms by which reports are late (default 0)
   */
  constructor (options: { clock: Clock, objects?: ObjectStore, reportLag?: number }) {
    super()
    this.clock = options.clock
    this.objects = options.objects
    this.reportLag = options.reportLag ?? 0
  }

  /** Every stretch of time in which a task ran, over all workers. */
  get runs (): TaskRun[] {
    return [...this.entries.values()].flatMap(entry => entry.host.runs)
  }

  /** What workers were told to do against the rules. */
  get violations (): string[] {
    return [...this.entries.values()].flatMap(entry => entry.host.violations)
  }

  /**
   * @param worker - the instance; a worker not yet known starts empty
   * @returns its task host
   */
  host (worker: Instance): TaskHost {
    return this.entry(worker).host
  }

  /**
   * @param worker - the instance
   * @returns its faults, which may be changed at any time
   */
  faults (worker: Instance): WorkerFaults {
    return this.entry(worker).faults
  }

  /**
   * Ends a worker process and starts it anew.
   *
   * @param worker - the instance
   */
  kill (worker: Instance): void {
    const entry = this.entry(worker)
    entry.waiting = []
    entry.host.kill()
  }

  /**
   * Lets a hung worker go on; commands kept take effect now.
   *
   * @param worker - the instance
   */
  resume (worker: Instance): void {
    const entry = this.entry(worker)
    entry.faults.hung = false
    for (const action of entry.waiting.splice(0)) action()
  }

  override async start (worker: Instance, start: TaskStart): Promise<Result<void, WorkerError>> {
    return await this.call(worker, async host => await host.start(start))
  }

  override async renew (worker: Instance, leases: TaskLease[]): Promise<Result<string[], WorkerError>> {
    return await this.call(worker, async host => Ok(host.renew(leases)))
  }

  override async stop (worker: Instance, tasks: TaskName[]): Promise<Result<void, WorkerError>> {
    return await this.call(worker, async host => Ok(host.stop(tasks)))
  }

  override async checkpoint (worker: Instance, task: TaskName): Promise<Result<string, WorkerError>> {
    return await this.call(worker, async host => await host.checkpoint(task))
  }

  override async throttle (worker: Instance, task: TaskName, speed: number): Promise<Result<void, WorkerError>> {
    return await this.call(worker, async host => host.throttle(task, speed))
  }

  override async report (worker: Instance): Promise<Result<WorkerReport, WorkerError>> {
    return await this.call(worker, async () => Ok(this.lagging(worker)))
  }

  private lagging (worker: Instance): WorkerReport {
    const entry = this.entry(worker)
    const now = this.clock.now()
    if (now - entry.lastAt >= this.reportLag) {
      entry.last = entry.host.report()
      entry.lastAt = now
    }
    return { ...entry.last, lag: now - entry.lastAt }
  }

  private async call<T> (worker: Instance, action: (host: TaskHost) => Promise<Result<T, WorkerError>>): Promise<Result<T, WorkerError>> {
    const { faults, host, waiting } = this.entry(worker)
    if (faults.unreachable) return Err({ fault: 'unreachable', message: `${worker.id} cannot be reached` })
    if (faults.slow > 0) await this.clock.sleep(faults.slow)
    if (faults.hung) {
      waiting.push(() => { action(host).catch(() => {}) })
      return unknown(worker)
    }
    if (faults.late > 0) {
      this.clock.schedule(faults.late, () => { action(host).catch(() => {}) })
      return unknown(worker)
    }
    const result = await action(host)
    return faults.loseAnswers ? unknown(worker) : result
  }

  private entry (worker: Instance): Entry {
    const known = this.entries.get(worker.id)
    if (known !== undefined) return known
    const host = new TaskHost({ worker: worker.id, resources: worker.resources, clock: this.clock, objects: this.objects })
    const faults: WorkerFaults = { unreachable: false, loseAnswers: false, slow: 0, late: 0, hung: false }
    const entry: Entry = { host, faults, waiting: [], last: host.report(), lastAt: -Infinity }
    this.entries.set(worker.id, entry)
    return entry
  }
}

function unknown<T> (worker: Instance): Result<T, WorkerError> {
  return Err({ fault: 'unknown', message: `the answer of ${worker.id} was lost` })
}
