import { fitsResources, NO_RESOURCES, subtractResources } from '@rattanstep/core'
import type { Incarnation, Permit } from '@rattanstep/core'
import type { WorkerUsage } from '../types/decision.js'
import type { ClassBooks } from './ClassBooks.js'
import type { Ledger } from './Ledger.js'
import { adoptedEntry } from './PermitBook.js'
import type { PermitEntry } from './PermitBook.js'
import { clampResources } from './WorkerBook.js'
import type { WorkerBook } from './WorkerBook.js'
import type { WorkerBooks } from './WorkerBooks.js'

/** Milliseconds beyond the class's bound after which a permit that is not renewed is freed. */
export const BOUND_MARGIN = 10_000

/** Milliseconds that a grant or a request may be under way. A front returns a grant that took longer. */
export const MOST_TRANSIT = 5000

/** Lists of a front that must lack a permit before it is freed. */
const MISSING_LISTS = 2

/** Keeps permits that come from elsewhere: taken over, renewed, orphaned. */
export class PermitKeeper {
  private readonly workers: WorkerBooks
  private readonly classes: ClassBooks
  private readonly ledger: Ledger

  /** @param options - the books */
  constructor (options: { workers: WorkerBooks, classes: ClassBooks, ledger: Ledger }) {
    this.workers = options.workers
    this.classes = options.classes
    this.ledger = options.ledger
  }

  /**
   * Counts permits that a front says it uses. Known permits are not counted twice.
   *
   * @param front - the front
   * @param permits - its permits
   * @param now - ms
   */
  adopt (front: Incarnation, permits: Permit[], now: number): void {
    for (const permit of permits) {
      const worker = this.workers.get(permit.worker)
      if (worker === undefined || this.ledger.permits.get(permit.permit) !== undefined) continue
      worker.learn(permit.resources)
      const bound = this.classes.get(permit.class).rule.bound
      const expiresAt = Math.max(now, now - permit.age + bound) + BOUND_MARGIN
      this.ledger.open(adoptedEntry(permit, { front, now, expiresAt }))
    }
  }

  /**
   * Renews permits by a front's whole list. One that lists lack although it was granted long before is not in use.
   *
   * @param front - the front
   * @param permits - all permits that it uses here
   * @param now - ms
   */
  renew (front: Incarnation, permits: Permit[], now: number): void {
    this.adopt(front, permits, now)
    const listed = new Set(permits.map(permit => permit.permit))
    for (const entry of [...this.ledger.permits.ofFront(front)]) {
      if (entry.abandoned) continue
      if (listed.has(entry.permit)) this.extend(entry, now)
      else this.miss(entry, now)
    }
  }

  /**
   * @param front - a front that is gone
   * @param now - ms
   */
  lose (front: Incarnation, now: number): void {
    for (const entry of this.ledger.permits.ofFront(front)) entry.lostAt ??= now
  }

  /**
   * Notes that nobody waits for a permit's work any more, which may still go on.
   *
   * @param entry - the permit
   * @param now - ms
   */
  abandon (entry: PermitEntry, now: number): void {
    entry.lostAt = now
    entry.abandoned = true
  }

  /**
   * @param worker - a worker
   * @returns permits left behind there
   */
  orphansAt (worker: string): PermitEntry[] {
    return [...this.ledger.permits.atWorker(worker)].filter(entry => entry.lostAt !== null)
  }

  /**
   * Takes in what a worker says it runs: it bounds what is unknown and what lost fronts left behind.
   *
   * @param worker - the worker's book
   * @param usage - what it runs
   * @param now - ms
   */
  reported (worker: WorkerBook, usage: WorkerUsage, now: number): void {
    const takenAt = now - usage.lag
    this.boundUnknown(worker, usage, takenAt)
    this.freeOrphans(worker, usage.requests, takenAt)
    if (worker.holdReleasedAt < takenAt) {
      worker.excess = { ...clampResources(subtractResources(usage.tasks, worker.held)), slots: 0, accelerators: 0 }
    }
    this.workers.refresh(worker)
  }

  /**
   * Frees permits that were not renewed in time.
   *
   * @param now - ms
   */
  expire (now: number): void {
    for (let entry = this.ledger.permits.expired(now); entry !== undefined; entry = this.ledger.permits.expired(now)) {
      this.ledger.close(entry)
    }
  }

  private extend (entry: PermitEntry, now: number): void {
    entry.lostAt = null
    entry.missing = 0
    this.ledger.permits.extend(entry, Math.max(entry.expiresAt, now + BOUND_MARGIN))
  }

  private miss (entry: PermitEntry, now: number): void {
    if (now - entry.grantedAt < 2 * MOST_TRANSIT) return
    entry.missing++
    if (entry.missing >= MISSING_LISTS) this.ledger.close(entry)
  }

  /** A request takes one slot: routes declare only what it needs beside its slot. */
  private boundUnknown (worker: WorkerBook, usage: WorkerUsage, takenAt: number): void {
    if (worker.unknown.slots === 0 || takenAt < worker.since + MOST_TRANSIT) return
    const slots = Math.min(worker.unknown.slots, usage.requests + usage.tasks.slots)
    worker.unknown = slots === 0 ? { ...NO_RESOURCES } : { ...worker.unknown, slots }
  }

  /**
   * Of permits left behind by lost fronts, at most as many are in use as the worker runs requests. Which ones is not
   * known, so only those are freed that need no more of anything than each one kept.
   */
  private freeOrphans (worker: WorkerBook, requests: number, takenAt: number): void {
    const orphans = this.orphansAt(worker.room.id).filter(entry => {
      const settledAt = entry.abandoned ? entry.lostAt! : entry.lostAt! + MOST_TRANSIT
      return settledAt <= takenAt
    })
    while (orphans.length > requests) {
      const least = orphans.findIndex(entry => orphans.every(other => fitsResources(entry.resources, other.resources)))
      if (least < 0) return
      this.ledger.close(orphans[least]!)
      orphans.splice(least, 1)
    }
  }
}
