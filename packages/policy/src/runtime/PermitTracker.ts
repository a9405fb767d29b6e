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

/** Time beyond the class's bound after which a permit that was not renewed is freed. */
export const BOUND_MARGIN_MS = 10_000

/** Maximum time that a grant or a request is in transit. A front returns a grant that took longer. */
export const MAX_TRANSIT_MS = 5000

/** Number of consecutive lists of a front that must lack a permit before it is freed. */
const MAX_MISSED_LISTS = 2

/** Tracks permits by what fronts and workers report: adopts, renews, abandons and frees them. */
export class PermitTracker {
  private readonly workers: WorkerRegistry
  private readonly classes: ClassRegistry
  private readonly ledger: Ledger

  /** @param options - `workers` and `classes`: their states; `ledger`: the permits */
  constructor (options: { workers: WorkerRegistry, classes: ClassRegistry, ledger: Ledger }) {
    this.workers = options.workers
    this.classes = options.classes
    this.ledger = options.ledger
  }

  /**
   * Counts permits that a front reports. Known permits are not counted twice.
   *
   * @param front - the front
   * @param permits - its permits
   * @param now - monotonic time in ms
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
   * Renews permits from a front's complete list. A permit that was granted long before and is missing from several lists in
   * a row is no longer in use, and is freed.
   *
   * @param front - the front
   * @param permits - all permits that it uses at workers of this owner
   * @param now - monotonic time in ms
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
   * Marks the permits of a front as orphaned.
   *
   * @param front - a front that was lost
   * @param now - monotonic time in ms
   */
  markFrontLost (front: Incarnation, now: number): void {
    for (const entry of this.ledger.permits.getByFront(front)) entry.lostAt ??= now
  }

  /**
   * Marks a permit whose front no longer waits for the work, although the work may still be running.
   *
   * @param entry - the permit
   * @param now - monotonic time in ms
   */
  abandon (entry: PermitEntry, now: number): void {
    entry.lostAt = now
    entry.abandoned = true
  }

  /**
   * @param worker - identifier of a worker
   * @returns permits there that were abandoned or whose front was lost
   */
  getOrphans (worker: string): PermitEntry[] {
    return [...this.ledger.permits.getByWorker(worker)].filter(entry => entry.lostAt !== null)
  }

  /**
   * Applies a worker's report of what it runs: limits the unknown capacity, frees orphaned permits, and updates the usage
   * of tasks above what is held for them.
   *
   * @param worker - state of the worker
   * @param usage - what it runs
   * @param now - monotonic time in ms
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
   * @param now - monotonic time in ms
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

  /** A request takes one slot: routes declare only what it needs besides the slot. */
  private limitUnknown (worker: WorkerState, usage: WorkerUsage, takenAt: number): void {
    if (worker.unknown.slots === 0 || takenAt < worker.addedAt + MAX_TRANSIT_MS) return
    const slots = Math.min(worker.unknown.slots, usage.requests + usage.tasks.slots)
    worker.unknown = slots === 0 ? { ...NO_RESOURCES } : { ...worker.unknown, slots }
  }

  /**
   * Frees orphaned permits beyond the number of requests that the worker runs. Which of them are still in use is not known,
   * so a permit is freed only when it needs no more of any resource than each of the remaining ones.
   */
  private freeOrphans (worker: WorkerState, requests: number, takenAt: number): void {
    const orphans = this.getOrphans(worker.description.id).filter(entry => {
      // The request of a lost front may still be in transit to the worker; that of an abandoned permit was sent before.
      const conclusiveFrom = entry.abandoned ? entry.lostAt! : entry.lostAt! + MAX_TRANSIT_MS
      return conclusiveFrom <= takenAt
    })
    while (orphans.length > requests) {
      const least = orphans.findIndex(entry => orphans.every(other => fitsResources(entry.resources, other.resources)))
      if (least < 0) return
      this.ledger.removePermit(orphans[least]!)
      orphans.splice(least, 1)
    }
  }
}
