import type { Clock, Instance, Timer, WorkerReport, WorkerClient } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

/** Time between two requests to a worker whose ledger is not complete. */
const INCOMPLETE_REPORT_INTERVAL_MS = 250

/** Time between two requests to any other worker. */
const REPORT_INTERVAL_MS = 5000

/** Options of the poller. */
export interface WorkerReportPollerOptions {
  workers: WorkerClient
  clock: Clock
  log: Log
  /** Owned workers, and whether the ledger of each is complete. */
  owned: () => Array<{ instance: Instance, complete: boolean }>
  /** Called with each report received. */
  onReport: (report: WorkerReport) => void
}

/** Polls the owned workers for what they run, at shorter intervals while a takeover is incomplete. */
export class WorkerReportPoller {
  private readonly requestedAt = new Map<string, number>()
  /** Clock time in ms of the first failed request since the last success, by worker. */
  private readonly silentSince = new Map<string, number>()
  private readonly pending = new Set<string>()
  private timer: Timer | null = null

  /** @param options - workers to poll and receiver of their reports */
  constructor (private readonly options: WorkerReportPollerOptions) {}

  /** Starts polling. */
  start (): void {
    this.timer = this.options.clock.repeat(INCOMPLETE_REPORT_INTERVAL_MS, () => { this.requestDueReports() })
  }

  /** Stops polling. */
  stop (): void {
    this.timer?.cancel()
  }

  /** @returns workers whose last request failed, with the ms since their first failure in a row */
  silentWorkers (): Array<{ worker: string, silentFor: number }> {
    const now = this.options.clock.now()
    return [...this.silentSince].map(([worker, at]) => ({ worker, silentFor: now - at }))
  }

  private requestDueReports (): void {
    const now = this.options.clock.now()
    const owned = this.options.owned()
    this.removeUnowned(new Set(owned.map(entry => entry.instance.id)))
    for (const { instance, complete } of owned) {
      const dueAt = (this.requestedAt.get(instance.id) ?? -Infinity) + (complete ? REPORT_INTERVAL_MS : INCOMPLETE_REPORT_INTERVAL_MS)
      if (now < dueAt || this.pending.has(instance.id)) continue
      this.requestedAt.set(instance.id, now)
      this.requestReport(instance)
    }
  }

  private async requestReport (instance: Instance): Promise<void> {
    const { workers, clock, onReport } = this.options
    this.pending.add(instance.id)
    const requestedAt = clock.now()
    const answer = await workers.report(instance)
    this.pending.delete(instance.id)
    if (answer.isErr()) {
      this.recordFailure(instance.id, answer.error.fault, answer.error.message)
      return
    }
    this.recordRecovery(instance.id)
    // The figures may be as old as the request, so the duration of the request is added to the lag.
    const lag = answer.value.lag + (clock.now() - requestedAt)
    onReport({ ...answer.value, worker: instance.id, lag })
  }

  private removeUnowned (owned: Set<string>): void {
    for (const worker of this.requestedAt.keys()) {
      if (owned.has(worker)) continue
      this.requestedAt.delete(worker)
      this.silentSince.delete(worker)
    }
  }

  private recordFailure (worker: string, fault: string, message: string): void {
    if (this.silentSince.has(worker)) return
    this.silentSince.set(worker, this.options.clock.now())
    this.options.log.write(EVENTS.workerReportLost, { worker, fault, message })
  }

  private recordRecovery (worker: string): void {
    const since = this.silentSince.get(worker)
    if (since === undefined) return
    this.silentSince.delete(worker)
    this.options.log.write(EVENTS.workerReportRestored, { worker, lost: this.options.clock.now() - since })
  }
}
