import type { WeighedJob } from '@rattanstep/policy'

/** An accepted job that waits in the store until the decider has room for it. */
export interface DeferredJob extends WeighedJob {
  id: string
  route: string
  /** Whether the job has a record, which is read with it; jobs that have started come first. */
  isStarted: boolean
  /** Priority of its route; 0 is the most urgent. */
  priority: number
  /** Whether the job was submitted beyond the rate of its organisation. */
  isBeyondRate: boolean
}

/** Numbers of jobs that are not kept. */
interface DroppedJobs {
  byRoute: Map<string, number>
  holders: Set<string>
}

/**
 * Ids of accepted jobs that wait in the store, for each holder the most urgent first and, among equals, in the order in which they were added. If there are
 * more than may be kept, the least urgent that have not started are dropped: they are found by reading the store again.
 */
export class DeferredJobs {
  private readonly byId = new Map<string, DeferredJob>()
  /** Jobs by holder and rank. */
  private readonly queues = new Map<string, Map<number, Set<DeferredJob>>>()
  private readonly waitingByRoute = new Map<string, number>()
  private dropped = noneDropped()
  /** Jobs that were dropped before the store was last read. */
  private formerlyDropped = noneDropped()
  /** Whether the store is being read. */
  private isIncomplete = false

  /** @param most - number of jobs to keep; those that have started are kept beyond it */
  constructor (private readonly most = Infinity) {}

  get size (): number {
    return this.byId.size
  }

  has (id: string): boolean {
    return this.byId.has(id)
  }

  /** @returns number of jobs of a route that have not started */
  countWaiting (route: string): number {
    return (this.waitingByRoute.get(route) ?? 0) + Math.max(this.dropped.byRoute.get(route) ?? 0, this.formerlyDropped.byRoute.get(route) ?? 0)
  }

  /** @returns whether there may be jobs that are not kept */
  get hasDropped (): boolean {
    return this.isIncomplete || this.dropped.holders.size > 0
  }

  /** @returns whether there may be jobs of a holder that are not kept */
  hasDroppedOf (holder: string): boolean {
    return this.dropped.holders.has(holder) || this.formerlyDropped.holders.has(holder)
  }

  /** Notes that all jobs in the store that are not known otherwise will be added again. */
  startScan (): void {
    if (!this.isIncomplete) this.formerlyDropped = this.dropped
    this.dropped = noneDropped()
    this.isIncomplete = true
  }

  /** Notes that they have been added. */
  endScan (): void {
    this.formerlyDropped = noneDropped()
    this.isIncomplete = false
  }

  /**
   * Adds a job that is not kept.
   *
   * @returns the job that was dropped for it, or the job itself if it isn't kept
   */
  add (job: DeferredJob): DeferredJob | undefined {
    const dropped = job.isStarted || this.byId.size < this.most ? undefined : this.findLeastUrgent(job)
    if (dropped !== undefined) {
      this.dropped.holders.add(dropped.holder)
      this.dropped.byRoute.set(dropped.route, (this.dropped.byRoute.get(dropped.route) ?? 0) + 1)
      if (dropped === job) return job
      this.remove(dropped.id)
    }
    this.byId.set(job.id, job)
    const rank = rankOf(job)
    let ranks = this.queues.get(job.holder)
    if (ranks === undefined) this.queues.set(job.holder, ranks = new Map())
    const queue = ranks.get(rank)
    if (queue === undefined) ranks.set(rank, new Set([job]))
    else queue.add(job)
    this.adjustWaiting(job, 1)
    return dropped
  }

  /** Notes which jobs were submitted beyond the rates of their organisations. */
  markBeyondRate (ids: ReadonlySet<string>): void {
    for (const job of this.byId.values()) job.isBeyondRate = ids.has(job.id)
  }

  /** @returns the job that was removed, if it was kept */
  remove (id: string): DeferredJob | undefined {
    const job = this.byId.get(id)
    if (job === undefined) return undefined
    this.byId.delete(id)
    const rank = rankOf(job)
    const ranks = this.queues.get(job.holder)!
    const queue = ranks.get(rank)!
    queue.delete(job)
    if (queue.size === 0) ranks.delete(rank)
    if (ranks.size === 0) this.queues.delete(job.holder)
    this.adjustWaiting(job, -1)
    return job
  }

  /** @returns the most urgent job of a holder */
  firstOf (holder: string): DeferredJob | undefined {
    const ranks = this.queues.get(holder)
    if (ranks === undefined) return undefined
    const [first] = ranks.get(Math.min(...ranks.keys()))!
    return first
  }

  /** @returns the most urgent job, of those that are the first of their holders, that a condition allows */
  findFirst (isAllowed: (job: DeferredJob) => boolean): DeferredJob | undefined {
    let found: DeferredJob | undefined
    for (const holder of this.queues.keys()) {
      const first = this.firstOf(holder)!
      if ((found === undefined || rankOf(first) < rankOf(found)) && isAllowed(first)) found = first
    }
    return found
  }

  /** @returns a job of the lowest urgency that has not started, or the given one if no other is less urgent */
  private findLeastUrgent (job: DeferredJob): DeferredJob {
    let least = job
    for (const ranks of this.queues.values()) {
      const rank = Math.max(...ranks.keys())
      const [candidate] = ranks.get(rank)!
      if (candidate !== undefined && rank > rankOf(least)) least = candidate
    }
    return least
  }

  private adjustWaiting ({ route, isStarted }: DeferredJob, change: 1 | -1): void {
    if (!isStarted) this.waitingByRoute.set(route, (this.waitingByRoute.get(route) ?? 0) + change)
  }
}

/** @returns order of a job among those of its holder; 0 and above for jobs that have not started */
export function rankOf ({ isStarted, priority }: Pick<DeferredJob, 'isStarted' | 'priority'>): number {
  return isStarted ? -1 : priority
}

function noneDropped (): DroppedJobs {
  return { byRoute: new Map(), holders: new Set() }
}
