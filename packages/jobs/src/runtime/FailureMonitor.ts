import type { Clock } from '@rattanstep/core'

/** Runs of one worker that are remembered. */
const WINDOW_RUNS = 20
/** Runs after which a worker is judged. */
const MIN_RUNS = 5
/** Part of failed runs from which a worker is bad. */
const BAD_PART = 0.9
/** Most failed runs of all others, as a part, at which the worker and not the work is to blame. */
const PEERS_PART = 0.5

/** Compares workers by how many of their runs fail. */
export class FailureWatch {
  private readonly clock: Clock
  private readonly quarantine: number
  private readonly runs = new Map<string, boolean[]>()
  /** Until when each bad worker is given nothing. */
  private readonly bad = new Map<string, number>()

  /** @param options - `quarantine`: ms for which a bad worker is given nothing */
  constructor (options: { clock: Clock, quarantine: number }) {
    this.clock = options.clock
    this.quarantine = options.quarantine
  }

  /**
   * @param worker - where a run ended
   * @param ok - whether it ended well
   * @returns counts when the worker has just turned out bad, otherwise `null`
   */
  note (worker: string, ok: boolean): { failures: number, runs: number } | null {
    const runs = [...this.runs.get(worker) ?? [], ok].slice(-WINDOW_RUNS)
    this.runs.set(worker, runs)
    if (this.isBad(worker)) return null
    const failures = countFailures(runs)
    if (runs.length < MIN_RUNS || failures / runs.length < BAD_PART || !this.arePeersBetter(worker)) return null
    this.bad.set(worker, this.clock.now() + this.quarantine)
    return { failures, runs: runs.length }
  }

  /**
   * @param worker - a worker
   * @returns whether it is given nothing new
   */
  isBad (worker: string): boolean {
    const until = this.bad.get(worker)
    if (until === undefined) return false
    if (until > this.clock.now()) return true
    this.forgive(worker)
    return false
  }

  /** @param worker - a worker to be tried again */
  forgive (worker: string): void {
    this.bad.delete(worker)
    this.runs.delete(worker)
  }

  private arePeersBetter (worker: string): boolean {
    const others = [...this.runs].filter(([name]) => name !== worker && !this.bad.has(name)).flatMap(([, runs]) => runs)
    return others.length >= MIN_RUNS && countFailures(others) / others.length <= PEERS_PART
  }
}

function countFailures (runs: boolean[]): number {
  return runs.filter(ok => !ok).length
}
