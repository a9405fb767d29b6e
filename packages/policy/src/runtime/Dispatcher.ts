import type { Ask, Incarnation, Random, RefusalReason } from '@rattanstep/core'
import type { Decision, GrantDecision, RefuseDecision } from '../types/decision.js'
import type { ClassState } from './ClassState.js'
import type { ClassRegistry } from './ClassRegistry.js'
import type { WaitingAsk } from './FlowQueue.js'
import type { Ledger } from './Ledger.js'
import type { LongRunDetector } from './LongRunDetector.js'
import type { PeerSelector } from './PeerSelector.js'
import { BOUND_MARGIN_MS } from './PermitTracker.js'
import type { PermitEntry } from './PermitRegistry.js'
import type { WaitEstimator } from './WaitEstimator.js'
import type { Quarantine } from './Quarantine.js'
import type { CapacityLimits } from './CapacityLimits.js'
import type { WorkerState } from './WorkerState.js'
import type { WorkerChoice, WorkerRegistry } from './WorkerRegistry.js'
import { askKey, WaitingAskRegistry } from './WaitingAskRegistry.js'

/** Number of flows whose first ask is tried when a class is served. */
const MAX_FLOWS_TRIED = 4

/** Shortest `retryAfter` of a refusal. */
const MIN_RETRY_MS = 50

/** Fraction by which `retryAfter` is extended at random, so that refused callers do not all retry at the same time. */
const RETRY_JITTER = 0.25

/** Options of a `Dispatcher`. */
export interface DispatcherOptions {
  /** Prefix of permit identifiers, unique in the cell and across restarts. */
  name: string
  random: Random
  /** Maximum number of asks that wait in one class. */
  maxQueueLength: number
  /** Time in ms that an ask waits before it is redirected to a peer with free capacity. */
  redirectAfter: number
  workers: WorkerRegistry
  classes: ClassRegistry
  limits: CapacityLimits
  ledger: Ledger
  estimator: WaitEstimator
  quarantine: Quarantine
  longRuns: LongRunDetector
  peers: PeerSelector
}

/** Grants asks that can start, queues those that have to wait, and refuses the others. */
export class Dispatcher {
  /** Whether asks may be granted now; while it is `false`, they wait. */
  admitting = true
  private readonly options: DispatcherOptions
  private readonly waiting = new WaitingAskRegistry()
  private permitCount = 0

  /** @param options - state of workers and classes, and limits */
  constructor (options: DispatcherOptions) {
    this.options = options
  }

  /**
   * Handles a front's request for capacity.
   *
   * @param ask - the request
   * @param front - the front that sent it
   * @param now - monotonic time in ms
   * @returns a grant, a refusal, or nothing when the ask waits
   */
  ask (ask: Ask, front: Incarnation, now: number): Decision[] {
    const key = askKey(front, ask.id)
    if (this.waiting.has(key)) return []
    const granted = this.options.ledger.permits.getByAsk(key)
    if (granted !== undefined) return [this.repeatGrant(granted, ask, now)]
    const classState = this.options.classes.get(ask.class)
    const deadline = now + Math.min(ask.patience, classState.rule.patience)
    const item: WaitingAsk = { ask, front, key, queuedAt: now, deadline, removed: false, heapIndex: -1 }
    const grant = this.tryGrant(classState, item, now)
    if (grant !== null) return [grant]
    const refusal = this.refuseEarly(classState, item, now)
    if (refusal !== null) return [refusal]
    this.waiting.add(classState, item, now)
    return []
  }

  /**
   * Cancels asks that wait, and removes the permits of those that were granted.
   *
   * @param asks - identifiers of asks
   * @param front - the front that sent them
   * @param now - monotonic time in ms
   * @returns refusals of the asks that waited
   */
  cancel (asks: string[], front: Incarnation, now: number): Decision[] {
    const decisions: Decision[] = []
    for (const id of asks) {
      const key = askKey(front, id)
      const item = this.waiting.get(key)
      if (item !== undefined) decisions.push(this.refuse(item, 'cancelled', now))
      const permit = this.options.ledger.permits.getByAsk(key)
      if (permit !== undefined) this.options.ledger.removePermit(permit)
    }
    return decisions
  }

  /**
   * Removes the waiting asks of a front that has left or was lost.
   *
   * @param front - the front
   * @param now - monotonic time in ms
   */
  removeFront (front: Incarnation, now: number): void {
    for (const item of this.waiting.getByFront(front)) this.waiting.remove(this.options.classes.get(item.ask.class), item, now, false)
  }

  /**
   * Grants waiting asks for as long as one of them can start.
   *
   * @param now - monotonic time in ms
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
   * Refuses asks whose patience has run out, and redirects asks to peers with free capacity. An ask that has already waited
   * at another owner is not redirected again. Long work is not redirected either, since a peer's free slots may not be
   * available to it.
   *
   * @param now - monotonic time in ms
   * @returns the refusals
   */
  expire (now: number): Decision[] {
    const decisions: Decision[] = []
    for (let item = this.waiting.nextExpired(now); item !== undefined; item = this.waiting.nextExpired(now)) {
      decisions.push(this.refuse(item, 'patience', now))
    }
    for (const classState of this.options.classes.inServiceOrder(now)) decisions.push(...this.redirectAsks(classState, now))
    return decisions
  }

  private redirectAsks (classState: ClassState, now: number): Decision[] {
    const decisions: Decision[] = []
    if (this.options.classes.isLong(classState)) return decisions
    for (const item of classState.queue) {
      if (now - item.queuedAt < this.options.redirectAfter) break
      if (item.ask.waited > this.options.redirectAfter) continue
      const peer = this.options.peers.selectPeer(now)
      if (peer === '') break
      decisions.push(this.refuse(item, 'queue-full', now, peer))
    }
    return decisions
  }

  private dispatchOne (now: number): Decision | null {
    for (const classState of this.options.classes.inServiceOrder(now)) {
      for (const item of classState.queue.heads(MAX_FLOWS_TRIED)) {
        const grant = this.tryGrant(classState, item, now)
        if (grant !== null) return grant
      }
    }
    return null
  }

  private tryGrant (classState: ClassState, item: WaitingAsk, now: number): GrantDecision | null {
    if (!this.admitting) return null
    const { ask, front } = item
    const choice = this.chooseWorker(classState, ask)
    if (choice === null) return null
    const { worker, candidates } = choice
    const queued = this.waiting.has(item.key)
    const reason = queued ? this.grantReason(classState, now) : 'free-room'
    if (queued) this.waiting.remove(classState, item, now, true)
    const entry = this.openPermit(classState, item, worker, now)
    const { permit } = entry
    const { id, address } = worker.description
    return { kind: 'grant', ask, front, permit, worker: id, address, waited: now - item.queuedAt, reason, candidates }
  }

  private chooseWorker (classState: ClassState, ask: Ask): WorkerChoice | null {
    const { classes, limits, workers, quarantine } = this.options
    const capacity = { slots: workers.slots, free: workers.freeSlots }
    if (capacity.free < ask.resources.slots || limits.findLimit(classState, ask, capacity) !== null) return null
    const long = classes.isLong(classState) ? ask.resources.slots : 0
    // A probe may fail, so only work of a class whose requests are retried is used as one.
    const mayProbe = classState.rule.retries > 0
    const accept = (worker: WorkerState): boolean => mayProbe || quarantine.getHealth(worker.description.id) !== 'probing'
    return workers.find(ask.resources, { avoid: ask.avoid, long, accept })
  }

  private openPermit (classState: ClassState, item: WaitingAsk, worker: WorkerState, now: number): PermitEntry {
    const { classes, ledger, longRuns, quarantine, workers } = this.options
    const { caller, team, resources } = item.ask
    const entry: PermitEntry = {
      permit: `${this.options.name}:${++this.permitCount}`,
      worker: worker.description.id,
      class: classState.rule.name,
      caller,
      team,
      resources,
      front: item.front,
      key: item.key,
      grantedAt: now,
      expiresAt: now + classState.rule.bound + BOUND_MARGIN_MS,
      long: classes.isLong(classState),
      lostAt: null,
      abandoned: false,
      missedLists: 0,
      released: false,
      heapIndex: -1
    }
    ledger.addPermit(entry)
    longRuns.watch(entry)
    classes.advanceVirtualTime(classState, resources.slots)
    classState.grants.add(1, now)
    if (quarantine.recordGrant(worker.description.id, now)) {
      worker.quarantined = true
      workers.refresh(worker)
    }
    return entry
  }

  private grantReason (classState: ClassState, now: number): string {
    return this.options.classes.priority(classState, now) > classState.rule.priority ? 'aged' : 'turn'
  }

  private repeatGrant (entry: PermitEntry, ask: Ask, now: number): Decision {
    const address = this.options.workers.get(entry.worker)!.description.address
    const { front, permit, worker } = entry
    return { kind: 'grant', ask, front, permit, worker, address, waited: now - entry.grantedAt, reason: 'repeated', candidates: 1 }
  }

  private refuseEarly (classState: ClassState, item: WaitingAsk, now: number): Decision | null {
    const { workers, estimator, maxQueueLength } = this.options
    const { resources, avoid } = item.ask
    if (workers.size === 0) return this.refuse(item, 'no-worker', now)
    if (!workers.couldHold(resources, avoid)) {
      const reason = avoid.length > 0 && workers.couldHold(resources, []) ? 'no-worker' : 'never-fits'
      return this.refuse(item, reason, now)
    }
    if (classState.queue.size >= maxQueueLength) return this.refuse(item, 'queue-full', now)
    if (estimator.estimateWait(classState, item.ask, now) > item.deadline - now) return this.refuse(item, 'patience', now)
    return null
  }

  private refuse (item: WaitingAsk, reason: RefusalReason, now: number, peer?: Incarnation): RefuseDecision {
    const { classes, estimator, random, peers } = this.options
    const classState = classes.get(item.ask.class)
    if (this.waiting.has(item.key)) this.waiting.remove(classState, item, now, false)
    const wait = Math.max(MIN_RETRY_MS, estimator.estimateWait(classState, item.ask, now))
    const retryAfter = Math.ceil(wait * (1 + RETRY_JITTER * random.next()))
    const redirect = peer ?? (reason === 'cancelled' ? '' : peers.selectPeer(now))
    return { kind: 'refuse', ask: item.ask, front: item.front, reason, retryAfter, redirect }
  }
}
