import type { Clock } from '@rattanstep/core'
import { CONFIRMATION_WINDOW_MS, LEASE_MARGIN_MS, MIN_CLOCK_RATE } from '../types/limits.js'
import type { LeaseSource, WorkerState } from './model.js'

/** Time for which a worker may be out of sight before an order by its last known clock: its process can't end and start again in less. */
const MAX_UNSEEN_MS = 100

/**
 * Computes the leases that orders carry, and the time by which every lease of a worker has certainly expired.
 *
 * The end of a lease is a time on the worker's own clock, which starts anew in each incarnation. By the clock of a former incarnation, a lease of a
 * few seconds becomes the longest that the worker accepts. Tasks are therefore started only while the known clock is proven to be the present one.
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
    const sinceKnown = clock.now() - worker.clock.at
    worker.leaseSentAt = clock.now()
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

  /** Makes the clock of a worker that has a new incarnation unknown, and allows for leases by the former clock that may have reached the new one. */
  forgetClock (worker: WorkerState): void {
    if (worker.leaseSentAt > worker.clock.at) this.extendBound(worker, this.expiryOf(this.options.leaseMax), 'former-incarnation')
    worker.leaseSentAt = 0
    worker.clock = { value: 0, at: 0 }
  }

  /**
   * Allows for the leases of a former decider, which renews them until the end of its confirmation window.
   *
   * @param worker - the worker
   * @param startedAt - monotonic ms at which this term started
   */
  assumeFormerTerm (worker: WorkerState, startedAt: number): void {
    this.extendBound(worker, this.expiryOf(this.options.lease, startedAt + CONFIRMATION_WINDOW_MS), 'former-term')
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
