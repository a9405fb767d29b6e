import { NO_RESOURCES } from '@rattanstep/core'
import type { Ask, Incarnation, Load, Permit, Random, RefusalReason, Release, Resources } from '@rattanstep/core'
import type { ResolvedClass, ResolvedTeam } from '@rattanstep/rules'
import type { Decision, WorkerRoom } from '../types/decision.js'
import { Heap } from '../utils/Heap.js'
import type { ClassBook } from './ClassBook.js'
import { ALL_CLASSES, ClassBooks } from './ClassBooks.js'
import type { WaitingAsk } from './FlowQueue.js'
import { Ledger } from './Ledger.js'
import { adoptedEntry } from './PermitBook.js'
import type { PermitEntry } from './PermitBook.js'
import { Projection } from './Projection.js'
import { RunTimes } from './RunTimes.js'
import { WorkerBooks } from './WorkerBooks.js'

/** Milliseconds beyond the class's bound after which a permit that is not renewed is freed. */
const BOUND_MARGIN = 10_000

/** Flows whose first ask is tried when a class has its turn. */
const TRIED_FLOWS = 4

/** Shortest hint in ms for a new attempt. */
const LEAST_RETRY = 50

/** What an `Admission` is made of. */
export interface AdmissionOptions {
  /** Unique in the cell and over restarts: the node's incarnation. */
  name: string
  classes: ResolvedClass[]
  teams?: ResolvedTeam[]
  now: number
  random: Random
  /** Part of the owner's slots that long work may use, from 0 to 1. */
  longPart?: number
  /** Part of each worker's slots that long work may use, from 0 to 1. */
  longPartOfWorker?: number
  /** Most asks that wait in one class. */
  queueMost?: number
}

/** Admits work to the workers of one owner: the books of these workers, and the queue before them. */
export class Admission {
  /** Whether grants may be given now; asks wait while it is off. */
  admitting = true
  readonly runTimes = new RunTimes()
  private readonly name: string
  private readonly random: Random
  private readonly queueMost: number
  private readonly workers: WorkerBooks
  private readonly classes: ClassBooks
  private readonly ledger: Ledger
  private readonly projection: Projection
  private readonly waiting = new Map<string, WaitingAsk>()
  private readonly deadlines = new Heap<WaitingAsk>((a, b) => a.deadline - b.deadline)
  private permitCount = 0

  /** @param options - rules, sources of time and randomness, and limits */
  constructor (options: AdmissionOptions) {
    this.name = options.name
    this.random = options.random
    this.queueMost = options.queueMost ?? 10_000
    this.workers = new WorkerBooks({ longPart: options.longPartOfWorker ?? 0.75 })
    this.classes = new ClassBooks({ runTimes: this.runTimes, longPart: options.longPart ?? 0.5 })
    this.ledger = new Ledger({ workers: this.workers, classes: this.classes })
    this.projection = new Projection({ workers: this.workers, classes: this.classes })
    this.classes.configure(options.classes, options.teams ?? [])
  }

  /**
   * Puts new rules in force; permits in use stay.
   *
   * @param classes - rules of all classes
   * @param teams - quotas of teams
   * @param now - ms
   * @returns what the new rules let start
   */
  configure (classes: ResolvedClass[], teams: ResolvedTeam[], now: number): Decision[] {
    this.classes.configure(classes, teams)
    return this.dispatch(now)
  }

  /**
   * Takes over a worker.
   *
   * @param worker - the worker
   * @param now - ms
   * @param unknown - room counted as used until `confirm`
   */
  addWorker (worker: WorkerRoom, now: number, unknown: Resources = NO_RESOURCES): void {
    this.workers.add(worker, now, unknown)
  }

  /**
   * Counts permits that a front says it uses at workers taken over. Known permits are not counted twice.
   *
   * @param front - the front
   * @param permits - all its permits at workers of this owner
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
   * Frees the room that was unknown, once all fronts have told their permits.
   *
   * @param worker - the worker
   * @param now - ms
   * @param unclaimed - requests on the worker that no front claims; a slot for each stays counted
   * @returns what starts in the room
   */
  confirm (worker: string, now: number, unclaimed = 0): Decision[] {
    const book = this.workers.get(worker)
    if (book === undefined) return []
    book.unknown = { ...NO_RESOURCES, slots: unclaimed }
    this.workers.refresh(book)
    return this.dispatch(now)
  }

  /**
   * @param worker - a worker
   * @returns permits in use there
   */
  permitsOf (worker: string): number {
    return this.workers.get(worker)?.permits ?? 0
  }

  /**
   * Gives a worker no new work and forgets it once its permits and holds have ended.
   *
   * @param id - the worker
   * @param now - ms
   * @returns decisions that follow
   */
  removeWorker (id: string, now: number): Decision[] {
    const book = this.workers.get(id)
    if (book === undefined) return []
    book.removed = true
    this.workers.refresh(book)
    this.runTimes.forget(id)
    return this.dispatch(now)
  }

  /** @param id - a worker that is leaving and gets no new work */
  drainWorker (id: string): void {
    const book = this.workers.get(id)
    if (book === undefined) return
    book.draining = true
    this.workers.refresh(book)
  }

  /**
   * Asks for room.
   *
   * @param ask - what is needed
   * @param front - who asks
   * @param now - ms
   * @returns a grant, a refusal, or nothing when the ask waits; a repeated ask gets its grant again
   */
  ask (ask: Ask, front: Incarnation, now: number): Decision[] {
    const key = askKey(front, ask.id)
    if (this.waiting.has(key)) return []
    const granted = this.ledger.permits.ofAsk(key)
    if (granted !== undefined) return [this.repeatGrant(granted, ask, now)]
    const book = this.classes.get(ask.class)
    const deadline = now + Math.min(ask.patience, book.rule.patience)
    const item: WaitingAsk = { ask, front, key, queuedAt: now, deadline, gone: false, place: -1 }
    const grant = this.tryGrant(book, item, now)
    if (grant !== null) return [grant]
    const refusal = this.refuseEarly(book, item, now)
    if (refusal !== null) return [refusal]
    this.enqueue(book, item, now)
    return []
  }

  /**
   * Withdraws asks. The front must not use a grant that crosses its cancellation.
   *
   * @param asks - identifiers of asks
   * @param front - who asked
   * @param now - ms
   * @returns the withdrawals, and what starts in room that became free
   */
  cancel (asks: string[], front: Incarnation, now: number): Decision[] {
    const decisions: Decision[] = []
    for (const id of asks) {
      const key = askKey(front, id)
      const item = this.waiting.get(key)
      if (item !== undefined) decisions.push(this.refuse(item, 'cancelled', now))
      const permit = this.ledger.permits.ofAsk(key)
      if (permit !== undefined) this.ledger.close(permit)
    }
    return [...decisions, ...this.dispatch(now)]
  }

  /**
   * Takes a permit back. Unknown permits are ignored.
   *
   * @param release - the permit and how its work ended
   * @param front - who used it
   * @param now - ms
   * @returns what starts in the room
   */
  release (release: Release, front: Incarnation, now: number): Decision[] {
    const entry = this.ledger.permits.get(release.permit)
    if (entry === undefined || entry.front !== front) return []
    this.ledger.close(entry)
    if (release.ending === 'completed') this.learn(entry, release.serviceTime)
    return this.dispatch(now)
  }

  /**
   * Renews a front's permits by its whole list.
   *
   * @param front - the front
   * @param permits - all permits that it uses at workers of this owner
   * @param now - ms
   */
  renew (front: Incarnation, permits: Permit[], now: number): void {
    this.adopt(front, permits, now)
    for (const permit of permits) {
      const entry = this.ledger.permits.get(permit.permit)
      if (entry === undefined || entry.front !== front) continue
      entry.lostAt = null
      this.ledger.permits.extend(entry, Math.max(entry.expiresAt, now + BOUND_MARGIN))
    }
  }

  /**
   * Notes that a front is gone. Its permits stay counted until their bound or a worker's report frees them.
   *
   * @param front - the front
   * @param now - ms
   */
  frontLost (front: Incarnation, now: number): void {
    for (const entry of this.ledger.permits.ofFront(front)) entry.lostAt ??= now
    for (const item of [...this.waiting.values()]) {
      if (item.front === front) this.refuse(item, 'cancelled', now)
    }
  }

  /**
   * Does what is due.
   *
   * @param now - ms
   * @returns refusals of asks whose patience ran out, and what starts
   */
  tick (now: number): Decision[] {
    for (let entry = this.ledger.permits.expired(now); entry !== undefined; entry = this.ledger.permits.expired(now)) {
      this.ledger.close(entry)
    }
    const decisions = this.dispatch(now)
    for (let item = this.deadlines.peek(); item !== undefined && item.deadline <= now; item = this.deadlines.peek()) {
      decisions.push(this.refuse(item, 'patience', now))
    }
    return decisions
  }

  /**
   * Holds room for a task of a job.
   *
   * @param worker - where
   * @param resources - how much
   * @param className - class of the task
   * @param team - team whose quota applies, or empty
   * @param id - identifies the hold; repeating it has no further effect
   * @param now - ms
   * @returns whether the room is held
   */
  hold (worker: string, resources: Resources, className: string, team: string, id: string, now: number): boolean {
    if (this.ledger.getHold(id) !== undefined) return true
    const book = this.workers.get(worker)
    if (book === undefined || !this.ledger.fits(book, resources)) return false
    const classBook = this.classes.get(className)
    const room = { slots: this.workers.slots, free: this.workers.freeSlots }
    if (this.classes.limit(classBook, { team, resources }, room) !== null) return false
    this.classes.charge(classBook, resources.slots)
    this.ledger.hold(book, { id, worker, class: className, team, resources, long: this.classes.isLong(classBook) })
    return true
  }

  /**
   * @param id - a hold that is no longer needed
   * @param now - ms
   * @returns what starts in the room
   */
  releaseHold (id: string, now: number): Decision[] {
    return this.ledger.releaseHold(id) ? this.dispatch(now) : []
  }

  /**
   * @param worker - a worker
   * @returns what is free there; nothing for a worker that takes no new work
   */
  free (worker: string): Resources {
    const book = this.workers.get(worker)
    return book === undefined || !book.usable ? { ...NO_RESOURCES } : book.free()
  }

  /**
   * @param now - ms
   * @returns what other nodes are told
   */
  load (now: number): Load {
    return this.projection.load(now)
  }

  private learn (entry: PermitEntry, time: number): void {
    this.runTimes.observe({ className: entry.class, worker: entry.worker, time })
    this.runTimes.observe({ className: ALL_CLASSES, worker: '', time })
  }

  private dispatch (now: number): Decision[] {
    const decisions: Decision[] = []
    while (this.admitting && this.waiting.size > 0 && this.workers.freeSlots > 0) {
      const grant = this.dispatchOne(now)
      if (grant === null) break
      decisions.push(grant)
    }
    return decisions
  }

  private dispatchOne (now: number): Decision | null {
    for (const book of this.classes.inOrder(now)) {
      for (const item of book.queue.heads(TRIED_FLOWS)) {
        const grant = this.tryGrant(book, item, now)
        if (grant !== null) return grant
      }
    }
    return null
  }

  private tryGrant (book: ClassBook, item: WaitingAsk, now: number): Decision | null {
    if (!this.admitting) return null
    const { ask, front, key } = item
    const room = { slots: this.workers.slots, free: this.workers.freeSlots }
    if (this.classes.limit(book, ask, room) !== null) return null
    const long = this.classes.isLong(book)
    const choice = this.workers.find(ask.resources, { avoid: ask.avoid, long: long ? ask.resources.slots : 0 })
    if (choice === null) return null
    const { worker, candidates } = choice
    const queued = this.waiting.has(key)
    if (queued) this.dequeue(book, item, now)
    const permit = `${this.name}:${++this.permitCount}`
    const expiresAt = now + book.rule.bound + BOUND_MARGIN
    const { caller, team, resources } = ask
    const shared = { permit, worker: worker.room.id, class: ask.class, caller, team, resources, front, key }
    this.ledger.open({ ...shared, grantedAt: now, expiresAt, long, lostAt: null, missing: 0, released: false, place: -1 })
    this.classes.charge(book, resources.slots)
    book.grants.add(1, now)
    const reason = queued ? 'queued' : 'free-room'
    return { kind: 'grant', ask, front, permit, worker: worker.room.id, address: worker.room.address, waited: now - item.queuedAt, reason, candidates }
  }

  private repeatGrant (entry: PermitEntry, ask: Ask, now: number): Decision {
    const address = this.workers.get(entry.worker)!.room.address
    const { front, permit, worker } = entry
    return { kind: 'grant', ask, front, permit, worker, address, waited: now - entry.grantedAt, reason: 'repeated', candidates: 1 }
  }

  private refuseEarly (book: ClassBook, item: WaitingAsk, now: number): Decision | null {
    if (this.workers.size === 0) return this.refuse(item, 'no-worker', now)
    if (!this.workers.couldHold(item.ask.resources)) return this.refuse(item, 'never-fits', now)
    if (book.queue.size >= this.queueMost) return this.refuse(item, 'queue-full', now)
    if (this.projection.wait(book, item.ask, now) > item.deadline - now) return this.refuse(item, 'patience', now)
    return null
  }

  private refuse (item: WaitingAsk, reason: RefusalReason, now: number): Decision {
    const book = this.classes.get(item.ask.class)
    if (this.waiting.has(item.key)) this.dequeue(book, item, now, false)
    const wait = this.projection.wait(book, item.ask, now)
    const retryAfter = Math.round(this.random.jitter(Math.max(LEAST_RETRY, wait)))
    return { kind: 'refuse', ask: item.ask, front: item.front, reason, retryAfter, redirect: '' }
  }

  private enqueue (book: ClassBook, item: WaitingAsk, now: number): void {
    this.waiting.set(item.key, item)
    this.deadlines.push(item)
    book.queue.push(item)
    book.noteQueue(now)
  }

  private dequeue (book: ClassBook, item: WaitingAsk, now: number, served = true): void {
    this.waiting.delete(item.key)
    this.deadlines.remove(item)
    if (served) book.queue.serve(item)
    else book.queue.remove(item)
    book.noteQueue(now)
  }
}

function askKey (front: Incarnation, ask: string): string {
  return `${front} ${ask}`
}
