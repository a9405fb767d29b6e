import type { Clock } from '@rattanstep/core'
import { CONFIRMATION_WINDOW_MS, LEASE_MARGIN_MS, MAX_CALL_DELAY_MS, MIN_CLOCK_RATE } from '../types/limits.js'
import type { LeaseSource, WorkerState } from './model.js'

/** Time for which a worker may be out of sight before an order by its last known clock: its process can't end and start again in less. */
const MAX_UNSEEN_MS = 100

/**
 * Computes the leases that orders carry, and the time by which every lease of a worker has certainly expired.
 *
 * The end of a lease is a time on the worker's own clock, which starts anew in each incarnation. By the clock of a former incarnation, a lease of a
 * few seconds becomes the longest that the worker accepts. Tasks are therefore started only while the known clock is proven to be the present one. An
 * order for a former incarnation may still reach the present one late, until that has seen the fencing token of its own.
 */
export class WorkerLeases {
  constructor (private readonly options: {
    clock: Clock
    /** Duration of a lease in ms. */
    lease: number
    /** Longest lease that workers accept, in ms. */
    leaseMax: number
  }) {}

  /** @returns whether the incarnation whose clock is known has run until just now, or until the poll that it holds was sent */
  isClockProven ({ clock, pollSentAt }: WorkerState): boolean {
    if (clock.at === 0) return false
    return (pollSentAt === 0 ? this.options.clock.now() : pollSentAt) - clock.at <= MAX_UNSEEN_MS
  }

  /**
   * Extends the lease of a worker's runs.
   *
   * @param worker - worker whose clock is known
   * @param source - the order that carries the lease
   * @returns end of the lease for an order that is sent now, in ms on the worker's clock
   */
  extend (worker: WorkerState, source: 'start' | 'poll'): number {
    const { clock, lease } = this.options
    const now = clock.now()
    const sinceKnown = now - worker.clock.at
    worker.unansweredOrders = [...worker.unansweredOrders.filter(sentAt => now - sentAt <= MAX_CALL_DELAY_MS), now]
    this.extendBound(worker, this.expiryOf(lease), source, sinceKnown)
    return Math.floor(worker.clock.value + sinceKnown * MIN_CLOCK_RATE + lease)
  }

  /**
   * Extends the bound by the lease that a worker has given, if its clock shows that it is longer than intended.
   *
   * @param worker - the worker
   * @param leaseEnd - end of the lease that the order carried, in ms on the worker's clock
   * @param workerClock - the worker's clock in its answer to the order, in ms
   */
  confirm (worker: WorkerState, leaseEnd: number, workerClock: number): void {
    this.extendBound(worker, this.expiryOf(Math.min(leaseEnd - workerClock, this.options.leaseMax)), 'start')
  }

  /** Handles the answer to an order with a lease, or the certainty that it is not carried out; `sentAt`: monotonic ms. */
  settle (worker: WorkerState, sentAt: number): void {
    const index = worker.unansweredOrders.indexOf(sentAt)
    if (index >= 0) worker.unansweredOrders.splice(index, 1)
  }

  /** Makes the clock of a worker that has a new incarnation unknown, and allows for orders by the former clock that may still reach the new one. */
  forgetClock (worker: WorkerState): void {
    worker.clock = { value: 0, at: 0 }
    const last = Math.max(...worker.unansweredOrders)
    if (this.options.clock.now() - last <= MAX_CALL_DELAY_MS) this.extendBound(worker, this.expiryOf(this.options.leaseMax, last + MAX_CALL_DELAY_MS), 'former-incarnation')
  }

  /** Limits the bound after an answer of an incarnation that has seen its own fencing token: whatever lease it has been given until now expires by then. */
  limitBound (worker: WorkerState): void {
    worker.leasesExpireAt = Math.min(worker.leasesExpireAt, this.expiryOf(this.options.leaseMax))
  }

  /**
   * Allows for the leases of a run of a former decider, which renews them until the end of its confirmation window.
   *
   * @param worker - the worker
   * @param startedAt - monotonic ms at which this term started
   * @param run - `leaseLeft`: ms that the record says of a longer lease, or 0; `isRestarted`: whether the worker has a new incarnation since the order
   */
  assumeFormerTerm (worker: WorkerState, startedAt: number, { leaseLeft, isRestarted }: { leaseLeft: number, isRestarted: boolean }): void {
    this.extendBound(worker, this.expiryOf(this.options.lease, startedAt + CONFIRMATION_WINDOW_MS), 'former-term')
    if (leaseLeft > 0) this.extendBound(worker, startedAt + leaseLeft, 'former-incarnation')
    if (isRestarted) this.extendBound(worker, this.expiryOf(this.options.leaseMax, startedAt + MAX_CALL_DELAY_MS), 'former-incarnation')
  }

  /** Allows for orders of former deciders that the worker may still get; `startedAt`: monotonic ms at which this term started. */
  assumeFormerOrders (worker: WorkerState, startedAt: number): void {
    worker.unansweredOrders.push(startedAt)
  }

  /** @returns what decided the time at which the worker's leases expire, for log lines */
  describe ({ leasesExpireAt, leaseGrant: { source, at, clockAge } }: WorkerState): { leaseLeft: number, leaseSource: LeaseSource, leaseAge: number, clockAge: number } {
    const now = this.options.clock.now()
    return { leaseLeft: Math.round(leasesExpireAt - now), leaseSource: source, leaseAge: Math.round(now - at), clockAge: Math.round(clockAge) }
  }

  /** @returns monotonic ms by which a lease has expired that was given at a time */
  private expiryOf (duration: number, givenAt = this.options.clock.now()): number {
    return givenAt + duration / MIN_CLOCK_RATE + LEASE_MARGIN_MS
  }

  private extendBound (worker: WorkerState, expireAt: number, source: LeaseSource, clockAge = 0): void {
    if (expireAt <= worker.leasesExpireAt) return
    worker.leasesExpireAt = expireAt
    worker.leaseGrant = { source, at: this.options.clock.now(), clockAge }
  }
}
