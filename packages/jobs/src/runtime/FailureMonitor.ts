import type { Clock } from '@rattanstep/core'

/** Number of most recent runs that are kept for each worker. */
const WINDOW_SIZE_RUNS = 20
/** Number of runs that are needed to compare a worker with the others. */
const MIN_RUNS = 5
/** A worker is quarantined when at least this fraction of its runs failed. */
const QUARANTINE_FAILURE_RATIO = 0.9
/** When a larger fraction of the runs on all other workers failed, the work is assumed to be at fault, not the worker. */
const MAX_PEER_FAILURE_RATIO = 0.5

/** Detects workers whose runs fail far more often than those of other workers. */
export class FailureMonitor {
  private readonly clock: Clock
  private readonly quarantineDuration: number
  private readonly runs = new Map<string, boolean[]>()
  /** Time at which the quarantine of each worker ends. */
  private readonly quarantinedUntil = new Map<string, number>()

  /** @param options - `quarantineDuration`: length of a quarantine in ms */
  constructor (options: { clock: Clock, quarantineDuration: number }) {
    this.clock = options.clock
    this.quarantineDuration = options.quarantineDuration
  }

  /**
   * Records the end of a run and quarantines the worker when too many of its runs failed.
   *
   * @param worker - identifier of the worker
   * @param ok - whether the run succeeded
   * @returns counts of the recent runs when this run put the worker into quarantine, otherwise `null`
   */
  recordRun (worker: string, ok: boolean): { failures: number, runs: number } | null {
    const runs = [...this.runs.get(worker) ?? [], ok].slice(-WINDOW_SIZE_RUNS)
    this.runs.set(worker, runs)
    if (this.isQuarantined(worker)) return null
    const failures = countFailures(runs)
    if (runs.length < MIN_RUNS || failures / runs.length < QUARANTINE_FAILURE_RATIO || !this.arePeersHealthy(worker)) return null
    this.quarantinedUntil.set(worker, this.clock.now() + this.quarantineDuration)
    return { failures, runs: runs.length }
  }

  /**
   * Ends the quarantine when its time is over, and clears the recorded runs of the worker.
   *
   * @param worker - identifier of the worker
   * @returns whether the worker is in quarantine
   */
  isQuarantined (worker: string): boolean {
    const until = this.quarantinedUntil.get(worker)
    if (until === undefined) return false
    if (until > this.clock.now()) return true
    this.reset(worker)
    return false
  }

  /**
   * Ends the quarantine of a worker and clears its recorded runs.
   *
   * @param worker - identifier of the worker
   */
  reset (worker: string): void {
    this.quarantinedUntil.delete(worker)
    this.runs.delete(worker)
  }

  private arePeersHealthy (worker: string): boolean {
    const others = [...this.runs].filter(([name]) => name !== worker && !this.quarantinedUntil.has(name)).flatMap(([, runs]) => runs)
    return others.length >= MIN_RUNS && countFailures(others) / others.length <= MAX_PEER_FAILURE_RATIO
  }
}

function countFailures (runs: boolean[]): number {
  return runs.filter(ok => !ok).length
}
