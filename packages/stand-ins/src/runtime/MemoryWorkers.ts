import { Err, Ok, WorkerClient } from '@rattanstep/core'
import type { Clock, Instance, ObjectStore, Result, TaskLease, TaskStart, WorkerError, WorkerReport } from '@rattanstep/core'
import type { TaskRun } from '../types/run.js'
import { TaskHost } from './TaskHost.js'
import type { TaskPlacement } from './TaskHost.js'

/** Faults of the connection to a worker. */
export interface WorkerFaults {
  /** Commands do not reach the worker. */
  unreachable: boolean
  /** Commands take effect, but their answers are lost. */
  loseAnswers: boolean
  /** Delay in ms before a command takes effect. */
  slow: number
  /** Delay in ms after which a command that was answered `unknown` takes effect; 0 turns the fault off. */
  late: number
  /** Commands are queued and answered `unknown`; they take effect when `resume` is called. */
  hung: boolean
}

interface WorkerRecord {
  host: TaskHost
  faults: WorkerFaults
  pendingCommands: Array<() => void>
  lastReport: WorkerReport
  lastReportAt: number
}

/** Workers in memory that run their tasks on the given clock, with fault injection. */
export class MemoryWorkers extends WorkerClient {
  /** Age in ms at which a report is replaced by a new one; until then the same report is returned. */
  reportLag: number
  private readonly clock: Clock
  private readonly objects: ObjectStore | undefined
  private readonly records = new Map<string, WorkerRecord>()

  /**
   * @param options - `clock`: clock of the tasks; `objects`: store for checkpoints; `reportLag`: see the field (default 0)
   */
  constructor (options: { clock: Clock, objects?: ObjectStore, reportLag?: number }) {
    super()
    this.clock = options.clock
    this.objects = options.objects
    this.reportLag = options.reportLag ?? 0
  }

  /** Every run of a task, on all workers. */
  get runs (): TaskRun[] {
    return [...this.records.values()].flatMap(entry => entry.host.runs)
  }

  /** Descriptions of the start commands that were refused for lack of resources, on all workers. */
  get violations (): string[] {
    return [...this.records.values()].flatMap(entry => entry.host.violations)
  }

  /**
   * @param worker - the worker; a new worker starts without tasks
   * @returns the task host of the worker
   */
  host (worker: Instance): TaskHost {
    return this.recordOf(worker).host
  }

  /**
   * @param worker - the worker
   * @returns its active faults, which may be changed at any time
   */
  faults (worker: Instance): WorkerFaults {
    return this.recordOf(worker).faults
  }

  /**
   * Simulates a crash and restart of the worker process. Queued commands are lost.
   *
   * @param worker - the worker
   */
  kill (worker: Instance): void {
    const record = this.recordOf(worker)
    record.pendingCommands = []
    record.host.kill()
  }

  /**
   * Ends the `hung` fault of a worker; queued commands take effect now.
   *
   * @param worker - the worker
   */
  resume (worker: Instance): void {
    const record = this.recordOf(worker)
    record.faults.hung = false
    for (const action of record.pendingCommands.splice(0)) action()
  }

  override async start (worker: Instance, start: TaskStart): Promise<Result<void, WorkerError>> {
    return await this.sendCommand(worker, async host => await host.start(start))
  }

  override async renew (worker: Instance, leases: TaskLease[]): Promise<Result<string[], WorkerError>> {
    return await this.sendCommand(worker, async host => Ok(host.renew(leases)))
  }

  override async stop (worker: Instance, tasks: TaskPlacement[]): Promise<Result<void, WorkerError>> {
    return await this.sendCommand(worker, async host => Ok(host.stop(tasks)))
  }

  override async checkpoint (worker: Instance, task: TaskPlacement): Promise<Result<string, WorkerError>> {
    return await this.sendCommand(worker, async host => await host.checkpoint(task))
  }

  override async throttle (worker: Instance, task: TaskPlacement, speed: number): Promise<Result<void, WorkerError>> {
    return await this.sendCommand(worker, async host => host.throttle(task, speed))
  }

  override async report (worker: Instance): Promise<Result<WorkerReport, WorkerError>> {
    return await this.sendCommand(worker, async () => Ok(this.reportWithLag(worker)))
  }

  private reportWithLag (worker: Instance): WorkerReport {
    const record = this.recordOf(worker)
    const now = this.clock.now()
    if (now - record.lastReportAt >= this.reportLag) {
      record.lastReport = record.host.report()
      record.lastReportAt = now
    }
    return { ...record.lastReport, lag: now - record.lastReportAt }
  }

  private async sendCommand<T> (worker: Instance, action: (host: TaskHost) => Promise<Result<T, WorkerError>>): Promise<Result<T, WorkerError>> {
    const { faults, host, pendingCommands } = this.recordOf(worker)
    if (faults.unreachable) return Err({ fault: 'unreachable', message: `${worker.id} cannot be reached` })
    if (faults.slow > 0) await this.clock.sleep(faults.slow)
    if (faults.hung) {
      pendingCommands.push(() => { action(host).catch(() => {}) })
      return unknownOutcome(worker)
    }
    if (faults.late > 0) {
      this.clock.schedule(faults.late, () => { action(host).catch(() => {}) })
      return unknownOutcome(worker)
    }
    const result = await action(host)
    return faults.loseAnswers ? unknownOutcome(worker) : result
  }

  private recordOf (worker: Instance): WorkerRecord {
    const existing = this.records.get(worker.id)
    if (existing !== undefined) return existing
    const host = new TaskHost({ worker: worker.id, resources: worker.resources, clock: this.clock, objects: this.objects })
    const faults: WorkerFaults = { unreachable: false, loseAnswers: false, slow: 0, late: 0, hung: false }
    const record: WorkerRecord = { host, faults, pendingCommands: [], lastReport: host.report(), lastReportAt: -Infinity }
    this.records.set(worker.id, record)
    return record
  }
}

function unknownOutcome<T> (worker: Instance): Result<T, WorkerError> {
  return Err({ fault: 'unknown', message: `the answer of ${worker.id} was lost` })
}
