import { fitsResources, NO_RESOURCES, subtractResources } from '@rattanstep/core'
import type { Incarnation, Permit } from '@rattanstep/core'
import type { WorkerUsage } from '../types/decision.js'
import type { ClassRegistry } from './ClassRegistry.js'
import type { Ledger } from './Ledger.js'
import { createAdoptedEntry } from './PermitRegistry.js'
import type { PermitEntry } from './PermitRegistry.js'
import { clampResources } from './WorkerState.js'
import type { WorkerState } from './WorkerState.js'
import type { WorkerRegistry } from './WorkerRegistry.js'

/** Milliseconds beyond the class's bound after which a permit that is not renewed is freed. */
export const BOUND_MARGIN_MS = 10_000

/** Milliseconds that a grant or a request may be under way. A front returns a grant that took longer. */
export const MAX_TRANSIT_MS = 5000

/** Lists of a front that must lack a permit before it is freed. */
const MAX_MISSED_LISTS = 2

/** Keeps permits that come from elsewhere: taken over, renewed, orphaned. */
export class PermitTracker {
  private readonly workers: WorkerRegistry
  private readonly classes: ClassRegistry
  private readonly ledger: Ledger

  /** @param options - the books */
  constructor (options: { workers: WorkerRegistry, classes: ClassRegistry, ledger: Ledger }) {
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
      worker.subtractUnknown(permit.resources)
      const bound = this.classes.get(permit.class).rule.bound
      const expiresAt = Math.max(now, now - permit.age + bound) + BOUND_MARGIN_MS
      this.ledger.addPermit(createAdoptedEntry(permit, { front, now, expiresAt }))
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
    for (const entry of [...this.ledger.permits.getByFront(front)]) {
      if (entry.abandoned) continue
      if (listed.has(entry.permit)) this.extend(entry, now)
      else this.countMissedList(entry, now)
    }
  }

  /**
   * @param front - a front that is gone
   * @param now - ms
   */
  markFrontLost (front: Incarnation, now: number): void {
    for (const entry of this.ledger.permits.getByFront(front)) entry.lostAt ??= now
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
  getOrphans (worker: string): PermitEntry[] {
    return [...this.ledger.permits.getByWorker(worker)].filter(entry => entry.lostAt !== null)
  }

  /**
   * Takes in what a worker says it runs: it bounds what is unknown and what lost fronts left behind.
   *
   * @param worker - the worker's book
   * @param usage - what it runs
   * @param now - ms
   */
  applyReport (worker: WorkerState, usage: WorkerUsage, now: number): void {
    const takenAt = now - usage.lag
    this.limitUnknown(worker, usage, takenAt)
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
    for (let entry = this.ledger.permits.nextExpired(now); entry !== undefined; entry = this.ledger.permits.nextExpired(now)) {
      this.ledger.removePermit(entry)
    }
  }

  private extend (entry: PermitEntry, now: number): void {
    entry.lostAt = null
    entry.missedLists = 0
    this.ledger.permits.extend(entry, Math.max(entry.expiresAt, now + BOUND_MARGIN_MS))
  }

  private countMissedList (entry: PermitEntry, now: number): void {
    if (now - entry.grantedAt < 2 * MAX_TRANSIT_MS) return
    entry.missedLists++
    if (entry.missedLists >= MAX_MISSED_LISTS) this.ledger.removePermit(entry)
  }

  /** A request takes one slot: routes declare only what it needs beside its slot. */
  private limitUnknown (worker: WorkerState, usage: WorkerUsage, takenAt: number): void {
    if (worker.unknown.slots === 0 || takenAt < worker.addedAt + MAX_TRANSIT_MS) return
    const slots = Math.min(worker.unknown.slots, usage.requests + usage.tasks.slots)
    worker.unknown = slots === 0 ? { ...NO_RESOURCES } : { ...worker.unknown, slots }
  }

  /**
   * Of permits left behind by lost fronts, at most as many are in use as the worker runs requests. Which ones is not
   * known, so only those are freed that need no more of anything than each one kept.
   */
  private freeOrphans (worker: WorkerState, requests: number, takenAt: number): void {
    const orphans = this.getOrphans(worker.description.id).filter(entry => {
      const settledAt = entry.abandoned ? entry.lostAt! : entry.lostAt! + MAX_TRANSIT_MS
      return settledAt <= takenAt
    })
    while (orphans.length > requests) {
      const least = orphans.findIndex(entry => orphans.every(other => fitsResources(entry.resources, other.resources)))
      if (least < 0) return
      this.ledger.removePermit(orphans[least]!)
      orphans.splice(least, 1)
    }
  }
}
