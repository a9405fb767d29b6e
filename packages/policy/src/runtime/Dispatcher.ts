import type { Ask, Incarnation, Random, RefusalReason } from '@rattanstep/core'
import type { Decision, GrantDecision, RefuseDecision } from '../types/decision.js'
import type { ClassBook } from './ClassBook.js'
import type { ClassBooks } from './ClassBooks.js'
import type { WaitingAsk } from './FlowQueue.js'
import type { Ledger } from './Ledger.js'
import type { LongRuns } from './LongRuns.js'
import type { Peers } from './Peers.js'
import { BOUND_MARGIN } from './PermitKeeper.js'
import type { PermitEntry } from './PermitBook.js'
import type { Projection } from './Projection.js'
import type { Quarantine } from './Quarantine.js'
import type { RoomLimits } from './RoomLimits.js'
import type { WorkerBook } from './WorkerBook.js'
import type { Choice, WorkerBooks } from './WorkerBooks.js'
import { askKey, WaitingRoom } from './WaitingRoom.js'

/** Flows whose first ask is tried when a class has its turn. */
const TRIED_FLOWS = 4

/** Shortest hint in ms for a new attempt. */
const LEAST_RETRY = 50

/** Part of a hint by which hints are spread, so that refused callers do not come back together. */
const RETRY_SPREAD = 0.25

/** What a `Dispatcher` works on. */
export interface DispatcherOptions {
  /** Prefix of permits, unique in the cell and over restarts. */
  name: string
  random: Random
  /** Most asks that wait in one class. */
  queueMost: number
  /** Milliseconds that an ask waits before it is sent on to a peer with room. */
  redirectAfter: number
  workers: WorkerBooks
  classes: ClassBooks
  limits: RoomLimits
  ledger: Ledger
  projection: Projection
  quarantine: Quarantine
  longRuns: LongRuns
  peers: Peers
}

/** Queues asks and grants or refuses them. */
export class Dispatcher {
  /** Whether grants may be given now; asks wait while it is off. */
  admitting = true
  private readonly options: DispatcherOptions
  private readonly waiting = new WaitingRoom()
  private permitCount = 0

  /** @param options - books and limits */
  constructor (options: DispatcherOptions) {
    this.options = options
  }

  /**
   * @param ask - what is needed
   * @param front - who asks
   * @param now - ms
   * @returns a grant, a refusal, or nothing when the ask waits
   */
  ask (ask: Ask, front: Incarnation, now: number): Decision[] {
    const key = askKey(front, ask.id)
    if (this.waiting.has(key)) return []
    const granted = this.options.ledger.permits.ofAsk(key)
    if (granted !== undefined) return [this.repeatGrant(granted, ask, now)]
    const book = this.options.classes.get(ask.class)
    const deadline = now + Math.min(ask.patience, book.rule.patience)
    const item: WaitingAsk = { ask, front, key, queuedAt: now, deadline, gone: false, place: -1 }
    const grant = this.tryGrant(book, item, now)
    if (grant !== null) return [grant]
    const refusal = this.refuseEarly(book, item, now)
    if (refusal !== null) return [refusal]
    this.waiting.add(book, item, now)
    return []
  }

  /**
   * @param asks - identifiers of asks
   * @param front - who asked
   * @param now - ms
   * @returns the withdrawals
   */
  cancel (asks: string[], front: Incarnation, now: number): Decision[] {
    const decisions: Decision[] = []
    for (const id of asks) {
      const key = askKey(front, id)
      const item = this.waiting.get(key)
      if (item !== undefined) decisions.push(this.refuse(item, 'cancelled', now))
      const permit = this.options.ledger.permits.ofAsk(key)
      if (permit !== undefined) this.options.ledger.close(permit)
    }
    return decisions
  }

  /**
   * Drops the asks of a front that is gone.
   *
   * @param front - the front
   * @param now - ms
   */
  drop (front: Incarnation, now: number): void {
    for (const item of this.waiting.ofFront(front)) this.waiting.remove(this.options.classes.get(item.ask.class), item, now, false)
  }

  /**
   * Grants what can start now.
   *
   * @param now - ms
   * @returns the grants
   */
  dispatch (now: number): Decision[] {
    const decisions: Decision[] = []
    while (this.admitting && this.waiting.size > 0 && this.options.workers.freeSlots > 0) {
      const grant = this.dispatchOne(now)
      if (grant === null) break
      decisions.push(grant)
    }
    return decisions
  }

  /**
   * Refuses asks whose patience has run out, and sends asks on to peers with room. An ask that comes from another owner
   * stays, and long work stays too, since a peer's free slots may not be free for it.
   *
   * @param now - ms
   * @returns the refusals
   */
  expire (now: number): Decision[] {
    const decisions: Decision[] = []
    for (let item = this.waiting.expired(now); item !== undefined; item = this.waiting.expired(now)) {
      decisions.push(this.refuse(item, 'patience', now))
    }
    for (const book of this.options.classes.inOrder(now)) decisions.push(...this.sendOn(book, now))
    return decisions
  }

  private sendOn (book: ClassBook, now: number): Decision[] {
    const decisions: Decision[] = []
    if (this.options.classes.isLong(book)) return decisions
    for (const item of book.queue) {
      if (now - item.queuedAt < this.options.redirectAfter) break
      if (item.ask.waited > this.options.redirectAfter) continue
      const peer = this.options.peers.take(now)
      if (peer === '') break
      decisions.push(this.refuse(item, 'queue-full', now, peer))
    }
    return decisions
  }

  private dispatchOne (now: number): Decision | null {
    for (const book of this.options.classes.inOrder(now)) {
      for (const item of book.queue.heads(TRIED_FLOWS)) {
        const grant = this.tryGrant(book, item, now)
        if (grant !== null) return grant
      }
    }
    return null
  }

  private tryGrant (book: ClassBook, item: WaitingAsk, now: number): GrantDecision | null {
    if (!this.admitting) return null
    const { ask, front } = item
    const choice = this.choose(book, ask)
    if (choice === null) return null
    const { worker, candidates } = choice
    const queued = this.waiting.has(item.key)
    const reason = queued ? this.turnReason(book, now) : 'free-room'
    if (queued) this.waiting.remove(book, item, now, true)
    const entry = this.open(book, item, worker, now)
    const { permit } = entry
    const { id, address } = worker.room
    return { kind: 'grant', ask, front, permit, worker: id, address, waited: now - item.queuedAt, reason, candidates }
  }

  private choose (book: ClassBook, ask: Ask): Choice | null {
    const { classes, limits, workers, quarantine } = this.options
    const room = { slots: workers.slots, free: workers.freeSlots }
    if (room.free < ask.resources.slots || limits.limit(book, ask, room) !== null) return null
    const long = classes.isLong(book) ? ask.resources.slots : 0
    const mayProbe = book.rule.retries > 0
    const accept = (worker: WorkerBook): boolean => mayProbe || quarantine.trust(worker.room.id) !== 'probing'
    return workers.find(ask.resources, { avoid: ask.avoid, long, accept })
  }

  private open (book: ClassBook, item: WaitingAsk, worker: WorkerBook, now: number): PermitEntry {
    const { classes, ledger, longRuns, quarantine, workers } = this.options
    const { caller, team, resources } = item.ask
    const entry: PermitEntry = {
      permit: `${this.options.name}:${++this.permitCount}`,
      worker: worker.room.id,
      class: book.rule.name,
      caller,
      team,
      resources,
      front: item.front,
      key: item.key,
      grantedAt: now,
      expiresAt: now + book.rule.bound + BOUND_MARGIN,
      long: classes.isLong(book),
      lostAt: null,
      abandoned: false,
      missing: 0,
      released: false,
      place: -1
    }
    ledger.open(entry)
    longRuns.watch(entry)
    classes.charge(book, resources.slots)
    book.grants.add(1, now)
    if (quarantine.granted(worker.room.id, now)) {
      worker.quarantined = true
      workers.refresh(worker)
    }
    return entry
  }

  private turnReason (book: ClassBook, now: number): string {
    return this.options.classes.priority(book, now) > book.rule.priority ? 'aged' : 'turn'
  }

  private repeatGrant (entry: PermitEntry, ask: Ask, now: number): Decision {
    const address = this.options.workers.get(entry.worker)!.room.address
    const { front, permit, worker } = entry
    return { kind: 'grant', ask, front, permit, worker, address, waited: now - entry.grantedAt, reason: 'repeated', candidates: 1 }
  }

  private refuseEarly (book: ClassBook, item: WaitingAsk, now: number): Decision | null {
    const { workers, projection, queueMost } = this.options
    const { resources, avoid } = item.ask
    if (workers.size === 0) return this.refuse(item, 'no-worker', now)
    if (!workers.couldHold(resources, avoid)) {
      const reason = avoid.length > 0 && workers.couldHold(resources, []) ? 'no-worker' : 'never-fits'
      return this.refuse(item, reason, now)
    }
    if (book.queue.size >= queueMost) return this.refuse(item, 'queue-full', now)
    if (projection.wait(book, item.ask, now) > item.deadline - now) return this.refuse(item, 'patience', now)
    return null
  }

  private refuse (item: WaitingAsk, reason: RefusalReason, now: number, peer?: Incarnation): RefuseDecision {
    const { classes, projection, random, peers } = this.options
    const book = classes.get(item.ask.class)
    if (this.waiting.has(item.key)) this.waiting.remove(book, item, now, false)
    const wait = Math.max(LEAST_RETRY, projection.wait(book, item.ask, now))
    const retryAfter = Math.ceil(wait * (1 + RETRY_SPREAD * random.next()))
    const redirect = peer ?? (reason === 'cancelled' ? '' : peers.take(now))
    return { kind: 'refuse', ask: item.ask, front: item.front, reason, retryAfter, redirect }
  }
}
