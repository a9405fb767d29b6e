import type { Clock } from '@rattanstep/core'
import { hashText, mixHashes } from './hashText.js'

/** A node that can call workers for the decider. */
export interface Executor {
  node: string
  dataCentre: string
}

/** Time for which a node that left a call unanswered is given no further calls. */
const SUSPENSION_MS = 2000
/** Time for which the decider itself calls a worker that could not be reached through its executor. */
const DETOUR_MS = 3000

/**
 * Selects the executor of each worker by rendezvous hashing among the followers of the worker's data centre, so that a change of the
 * followers moves few workers. Without a follower there, all followers are candidates.
 */
export class ExecutorSelection {
  private candidates: Array<Executor & { hash: number }> = []
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
    this.candidates = this.knownExecutors.filter(({ node }) => !this.suspendedUntil.has(node)).map(executor => ({ ...executor, hash: hashText(executor.node) }))
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
