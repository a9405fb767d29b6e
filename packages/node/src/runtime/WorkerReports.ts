import type { Clock, Instance, Timer, WorkerReport, WorkerClient } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

/** Milliseconds between two reports of a worker whose books are not complete. */
const EAGER_MS = 250

/** Milliseconds between two reports of any other worker. */
const USUAL_MS = 5000

/** What the collection of reports is made of. */
export interface WorkerReportsOptions {
  workers: WorkerClient
  clock: Clock
  log: Log
  /** Workers to ask, and whether their books are complete. */
  owned: () => Array<{ instance: Instance, complete: boolean }>
  /** Called with each report. */
  onReport: (report: WorkerReport) => void
}

/** Asks the owned workers what they run: often while a takeover is incomplete, seldom otherwise. */
export class WorkerReports {
  private readonly askedAt = new Map<string, number>()
  private readonly lostAt = new Map<string, number>()
  private readonly pending = new Set<string>()
  private timer: Timer | null = null

  /** @param options - whom to ask and whom to tell */
  constructor (private readonly options: WorkerReportsOptions) {}

  /** Starts to ask. */
  start (): void {
    this.timer = this.options.clock.repeat(EAGER_MS, () => { this.look() })
  }

  /** Ends the asking. */
  stop (): void {
    this.timer?.cancel()
  }

  /** @returns ms since each silent worker last reported */
  silent (): Array<{ worker: string, lost: number }> {
    const now = this.options.clock.now()
    return [...this.lostAt].map(([worker, at]) => ({ worker, lost: now - at }))
  }

  private look (): void {
    const now = this.options.clock.now()
    const owned = this.options.owned()
    this.forget(new Set(owned.map(entry => entry.instance.id)))
    for (const { instance, complete } of owned) {
      const due = (this.askedAt.get(instance.id) ?? -Infinity) + (complete ? USUAL_MS : EAGER_MS)
      if (now < due || this.pending.has(instance.id)) continue
      this.askedAt.set(instance.id, now)
      this.ask(instance)
    }
  }

  private async ask (instance: Instance): Promise<void> {
    const { workers, clock, onReport } = this.options
    this.pending.add(instance.id)
    const askedAt = clock.now()
    const answer = await workers.report(instance)
    this.pending.delete(instance.id)
    if (answer.isErr()) {
      this.noteLoss(instance.id, answer.error.fault, answer.error.message)
      return
    }
    this.noteReturn(instance.id)
    // The figures may have been taken as early as the question was sent.
    const lag = answer.value.lag + (clock.now() - askedAt)
    onReport({ ...answer.value, worker: instance.id, lag })
  }

  private forget (owned: Set<string>): void {
    for (const worker of this.askedAt.keys()) {
      if (owned.has(worker)) continue
      this.askedAt.delete(worker)
      this.lostAt.delete(worker)
    }
  }

  private noteLoss (worker: string, fault: string, message: string): void {
    if (this.lostAt.has(worker)) return
    this.lostAt.set(worker, this.options.clock.now())
    this.options.log.write(EVENTS.workerSilent, { worker, fault, message })
  }

  private noteReturn (worker: string): void {
    const at = this.lostAt.get(worker)
    if (at === undefined) return
    this.lostAt.delete(worker)
    this.options.log.write(EVENTS.workerReports, { worker, lost: this.options.clock.now() - at })
  }
}
