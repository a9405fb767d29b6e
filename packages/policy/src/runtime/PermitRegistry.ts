import type { Incarnation, Permit, Resources } from '@rattanstep/core'
import { Heap } from '../utils/Heap.js'
import type { HeapItem } from '../utils/Heap.js'

/** A permit in use. */
export interface PermitEntry extends HeapItem {
  permit: string
  worker: string
  class: string
  caller: string
  team: string
  resources: Resources
  front: Incarnation
  /** Identifier of the ask that is unique across fronts; empty for an adopted permit. */
  key: string
  /** Monotonic time in ms of the grant. */
  grantedAt: number
  /** Monotonic time in ms at which the permit is freed unless it is renewed. */
  expiresAt: number
  /** Whether it counts as long work. */
  long: boolean
  /** Monotonic time in ms at which its front was lost or abandoned it; `null` while a front uses it. */
  lostAt: number | null
  /** Whether the front released it although its work may still be running. */
  abandoned: boolean
  /** Number of consecutive lists of its front that did not include it. */
  missedLists: number
  released: boolean
}

/** The permits in use, indexed by identifier, ask, front, worker and time of expiry. */
export class PermitRegistry {
  private readonly byId = new Map<string, PermitEntry>()
  private readonly byKey = new Map<string, PermitEntry>()
  private readonly byFront = new Map<Incarnation, Set<PermitEntry>>()
  private readonly byWorker = new Map<string, Set<PermitEntry>>()
  private readonly expiries = new Heap<PermitEntry>((a, b) => a.expiresAt - b.expiresAt)

  /** @returns number of permits in use */
  get size (): number {
    return this.byId.size
  }

  /**
   * @param permit - identifier of a permit
   * @returns the permit, if it is in use
   */
  get (permit: string): PermitEntry | undefined {
    return this.byId.get(permit)
  }

  /**
   * @param key - identifier of an ask that is unique across fronts
   * @returns the permit granted for it, if it is in use
   */
  getByAsk (key: string): PermitEntry | undefined {
    return this.byKey.get(key)
  }

  /**
   * @param front - a front
   * @returns its permits
   */
  getByFront (front: Incarnation): Iterable<PermitEntry> {
    return this.byFront.get(front) ?? []
  }

  /**
   * @param worker - identifier of a worker
   * @returns permits in use there
   */
  getByWorker (worker: string): Iterable<PermitEntry> {
    return this.byWorker.get(worker) ?? []
  }

  /** @param entry - a new permit */
  add (entry: PermitEntry): void {
    this.byId.set(entry.permit, entry)
    if (entry.key !== '') this.byKey.set(entry.key, entry)
    insert(this.byFront, entry.front, entry)
    insert(this.byWorker, entry.worker, entry)
    this.expiries.push(entry)
  }

  /** @param entry - a permit that is no longer in use */
  remove (entry: PermitEntry): void {
    entry.released = true
    this.byId.delete(entry.permit)
    if (entry.key !== '') this.byKey.delete(entry.key)
    this.expiries.remove(entry)
    discard(this.byFront, entry.front, entry)
    discard(this.byWorker, entry.worker, entry)
  }

  /**
   * @param entry - a permit in use
   * @param expiresAt - new time of expiry: monotonic time in ms
   */
  extend (entry: PermitEntry, expiresAt: number): void {
    entry.expiresAt = expiresAt
    this.expiries.update(entry)
  }

  /**
   * @param now - monotonic time in ms
   * @returns the permit that expired first, if one has expired
   */
  nextExpired (now: number): PermitEntry | undefined {
    const first = this.expiries.peek()
    return first !== undefined && first.expiresAt <= now ? first : undefined
  }
}

function insert (sets: Map<string, Set<PermitEntry>>, key: string, entry: PermitEntry): void {
  const known = sets.get(key)
  if (known === undefined) sets.set(key, new Set([entry]))
  else known.add(entry)
}

function discard (sets: Map<string, Set<PermitEntry>>, key: string, entry: PermitEntry): void {
  const known = sets.get(key)!
  known.delete(entry)
  if (known.size === 0) sets.delete(key)
}

/**
 * Creates the entry of a permit that another owner granted.
 *
 * @param permit - the permit as its front reports it
 * @param options - `front`: the front; `now` and `expiresAt`: monotonic time in ms
 * @returns the entry
 */
export function createAdoptedEntry (permit: Permit, options: { front: Incarnation, now: number, expiresAt: number }): PermitEntry {
  return {
    permit: permit.permit,
    worker: permit.worker,
    class: permit.class,
    caller: permit.caller,
    team: permit.team,
    resources: permit.resources,
    front: options.front,
    key: '',
    grantedAt: options.now - permit.age,
    expiresAt: options.expiresAt,
    long: false,
    lostAt: null,
    abandoned: false,
    missedLists: 0,
    released: false,
    heapIndex: -1
  }
}
