import type { Clock } from '@rattanstep/core'

/** Runs of one worker that are remembered. */
const WINDOW_SIZE_RUNS = 20
/** Runs after which a worker is judged. */
const MIN_RUNS = 5
/** Part of failed runs from which a worker is bad. */
const QUARANTINE_FAILURE_RATIO = 0.9
/** Most failed runs of all others, as a part, at which the worker and not the work is to blame. */
const MAX_PEER_FAILURE_RATIO = 0.5

/** Compares workers by how many of their runs fail. */
export class FailureMonitor {
  private readonly clock: Clock
  private readonly quarantineDuration: number
  private readonly runs = new Map<string, boolean[]>()
  /** Until when each bad worker is given nothing. */
  private readonly quarantinedUntil = new Map<string, number>()

  /** @param options - `quarantine`: ms for which a bad worker is given nothing */
  constructor (options: { clock: Clock, quarantineDuration: number }) {
    this.clock = options.clock
    this.quarantineDuration = options.quarantineDuration
  }

  /**
   * @param worker - where a run ended
   * @param ok - whether it ended well
   * @returns counts when the worker has just turned out bad, otherwise `null`
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
   * @param worker - a worker
   * @returns whether it is given nothing new
   */
  isQuarantined (worker: string): boolean {
    const until = this.quarantinedUntil.get(worker)
    if (until === undefined) return false
    if (until > this.clock.now()) return true
    this.reset(worker)
    return false
  }

  /** @param worker - a worker to be tried again */
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
