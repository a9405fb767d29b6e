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
  /** Identifies the ask over all fronts; empty for an adopted permit. */
  key: string
  grantedAt: number
  /** When the permit is freed unless it is renewed, in ms. */
  expiresAt: number
  /** Whether it counts as long work. */
  long: boolean
  /** Whether its front was lost, and since when. */
  lostAt: number | null
  /** Whether the front gave it back while its work may go on. */
  abandoned: boolean
  /** Consecutive lists of its front that did not name it. */
  missedLists: number
  released: boolean
}

/** All permits in use, by identifier, front, ask and time of expiry. */
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
   * @param permit - identifier
   * @returns the permit, if it is in use
   */
  get (permit: string): PermitEntry | undefined {
    return this.byId.get(permit)
  }

  /**
   * @param key - identifies an ask over all fronts
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
   * @param worker - a worker
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
   * @param expiresAt - new time of expiry in ms
   */
  extend (entry: PermitEntry, expiresAt: number): void {
    entry.expiresAt = expiresAt
    this.expiries.update(entry)
  }

  /**
   * @param now - ms
   * @returns a permit whose time has run out, if there is one
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
 * @param permit - as a front reports it
 * @param options - `front`: the front; `now` and `expiresAt`: ms
 * @returns the entry for the book
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
