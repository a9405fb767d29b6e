import type { Clock } from '@rattanstep/core'
import { hashText, mixHashes } from './hashText.js'

/** A node that can call workers for the decider. */
export interface Executor {
  node: string
  dataCentre: string
  /** See `CellSettings.strength`. */
  strength: number
}

/**
 * Maximum number of executors in a data centre. With few executors, a message carries many calls; their own load is small, about a
 * hundredth of a core for 20 workers.
 */
const MAX_EXECUTORS_PER_DATA_CENTRE = 4

interface Candidate extends Executor {
  /** Hash of the node's name. */
  hash: number
}

/** Time for which a node that left a call unanswered is given no further calls. */
const SUSPENSION_MS = 2000
/** Time for which the decider itself calls a worker that could not be reached through its executor. */
const DETOUR_MS = 3000

/**
 * Selects the executor of each worker by rendezvous hashing among the strongest followers of the worker's data centre, so that a change
 * of the followers moves few workers. Without a follower there, the candidates of all data centres are considered.
 */
export class ExecutorSelection {
  private candidates: Candidate[] = []
  private readonly selected = new Map<string, string | undefined>()
  private readonly suspendedUntil = new Map<string, number>()
  private readonly detourUntil = new Map<string, number>()
  private knownExecutors: readonly Executor[] = []

  /** @param options - `executors`: returns the nodes that follow; a new array after each change */
  constructor (private readonly options: { clock: Clock, executors: () => readonly Executor[] }) {}

  /**
   * @param worker - id and data centre of a worker
   * @returns the node that calls the worker, or `undefined` if the decider calls it
   */
  select (worker: { id: string, dataCentre: string }): string | undefined {
    const now = this.options.clock.now()
    if ((this.detourUntil.get(worker.id) ?? 0) > now) return undefined
    this.update(now)
    if (!this.selected.has(worker.id)) this.selected.set(worker.id, this.rank(worker))
    return this.selected.get(worker.id)
  }

  /** Gives a node no calls for a while, because it left one unanswered. */
  suspend (node: string): void {
    this.suspendedUntil.set(node, this.options.clock.now() + SUSPENSION_MS)
    this.rebuild()
  }

  /** Has the decider call a worker for a while, because its executor could not reach it. */
  detour (worker: string): void {
    this.detourUntil.set(worker, this.options.clock.now() + DETOUR_MS)
  }

  /** Ends the detour of a worker that the decider can't reach either. */
  endDetour (worker: string): void {
    this.detourUntil.delete(worker)
  }

  private update (now: number): void {
    const expired = [...this.suspendedUntil].filter(([, until]) => until <= now)
    for (const [node] of expired) this.suspendedUntil.delete(node)
    if (expired.length > 0 || this.options.executors() !== this.knownExecutors) this.rebuild()
  }

  private rebuild (): void {
    this.knownExecutors = this.options.executors()
    this.candidates = selectStrongest(this.knownExecutors.filter(({ node }) => !this.suspendedUntil.has(node)).map(executor => ({ ...executor, hash: hashText(executor.node) })))
    this.selected.clear()
  }

  private rank ({ id, dataCentre }: { id: string, dataCentre: string }): string | undefined {
    const workerHash = hashText(id)
    const near = this.candidates.filter(candidate => candidate.dataCentre === dataCentre)
    let best: string | undefined
    let bestWeight = -1
    for (const candidate of near.length > 0 ? near : this.candidates) {
      const weight = mixHashes(candidate.hash, workerHash)
      if (weight <= bestWeight) continue
      best = candidate.node
      bestWeight = weight
    }
    return best
  }
}

/** @returns the strongest candidates of each data centre */
function selectStrongest (candidates: Candidate[]): Candidate[] {
  const counts = new Map<string, number>()
  return [...candidates].sort((a, b) => b.strength - a.strength || a.hash - b.hash).filter(({ dataCentre }) => {
    const count = counts.get(dataCentre) ?? 0
    counts.set(dataCentre, count + 1)
    return count < MAX_EXECUTORS_PER_DATA_CENTRE
  })
}
