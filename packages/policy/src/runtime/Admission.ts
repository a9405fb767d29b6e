import { NO_RESOURCES } from '@rattanstep/core'
import type { Ask, Ending, Incarnation, Load, Permit, Release, Resources } from '@rattanstep/core'
import type { ResolvedClass, ResolvedTeam } from '@rattanstep/rules'
import type { Decision, PeerLoad, WorkerDescription, WorkerUsage } from '../types/decision.js'
import type { AdmissionOptions } from '../types/options.js'
import type { AdmissionStatus } from '../types/status.js'
import { ALL_CLASSES } from './ClassRegistry.js'
import type { ClassRegistry } from './ClassRegistry.js'
import { createComponents } from './createComponents.js'
import type { Dispatcher } from './Dispatcher.js'
import { describeAdmission } from './describeAdmission.js'
import type { Ledger } from './Ledger.js'
import { findPreemptionDemand } from './findPreemptionDemand.js'
import type { PreemptionDemand } from './findPreemptionDemand.js'
import type { LongRunDetector } from './LongRunDetector.js'
import type { PeerSelector } from './PeerSelector.js'
import type { PermitEntry } from './PermitRegistry.js'
import type { PermitTracker } from './PermitTracker.js'
import type { WaitEstimator } from './WaitEstimator.js'
import type { Quarantine } from './Quarantine.js'
import type { CapacityLimits } from './CapacityLimits.js'
import type { RunTimes } from './RunTimes.js'
import type { WorkerRegistry } from './WorkerRegistry.js'

/** A worker counts as slow when its runs take more than this many times the mean run time of their classes. */
const SLOW_RATIO = 1.5

/** Admits work to the workers of one owner: tracks what the workers run and queues the asks that wait for them. */
export class Admission {
  readonly runTimes: RunTimes
  private readonly preemptsTasks: boolean
  private readonly workers: WorkerRegistry
  private readonly classes: ClassRegistry
  private readonly limits: CapacityLimits
  private readonly ledger: Ledger
  private readonly estimator: WaitEstimator
  private readonly permitTracker: PermitTracker
  private readonly dispatcher: Dispatcher
  private readonly quarantine: Quarantine
  private readonly longRuns: LongRunDetector
  private readonly peers: PeerSelector

  /** @param options - rules, current time, source of randomness, and limits */
  constructor (options: AdmissionOptions) {
    const components = createComponents(options)
    this.preemptsTasks = options.preemptsTasks ?? false
    this.runTimes = components.runTimes
    this.workers = components.workers
    this.classes = components.classes
    this.limits = components.limits
    this.ledger = components.ledger
    this.estimator = components.estimator
    this.quarantine = components.quarantine
    this.longRuns = components.longRuns
    this.peers = components.peers
    this.permitTracker = components.permitTracker
    this.dispatcher = components.dispatcher
    this.classes.configure(options.classes, options.teams ?? [])
  }

  /**
   * Applies new rules. Permits in use stay valid.
   *
   * @param classes - rules of all classes
   * @param teams - quotas of teams
   * @param now - monotonic time in ms
   * @returns grants of asks that can start under the new rules
   */
  configure (classes: ResolvedClass[], teams: ResolvedTeam[], now: number): Decision[] {
    this.classes.configure(classes, teams)
    return this.dispatcher.dispatch(now)
  }

  /**
   * Adds a worker that this owner now admits work to.
   *
   * @param worker - the worker
   * @param now - monotonic time in ms
   * @param unknown - capacity counted as used until `confirm` is called, because the previous owner may have granted it
   */
  addWorker (worker: WorkerDescription, now: number, unknown: Resources = NO_RESOURCES): void {
    this.workers.add(worker, now, unknown)
    this.quarantine.add(worker.id)
  }

  /**
   * Counts permits that a front reports for workers taken over from another owner. Known permits are not counted twice.
   *
   * @param front - the front
   * @param permits - all its permits at workers of this owner
   * @param now - monotonic time in ms
   */
  adopt (front: Incarnation, permits: Permit[], now: number): void {
    this.permitTracker.adopt(front, permits, now)
  }

  /**
   * Frees the unknown capacity of a worker once all fronts have reported their permits.
   *
   * @param worker - identifier of the worker
   * @param now - monotonic time in ms
   * @param unclaimed - requests on the worker that no front claims; one slot stays counted for each
   * @returns grants of asks that start in the freed capacity
   */
  confirm (worker: string, now: number, unclaimed = 0): Decision[] {
    const workerState = this.workers.get(worker)
    if (workerState === undefined) return []
    workerState.unknown = { ...NO_RESOURCES, slots: unclaimed }
    this.workers.refresh(workerState)
    return this.dispatcher.dispatch(now)
  }

  /** @returns whether asks may be granted now; while it is `false`, they wait */
  get admitting (): boolean {
    return this.dispatcher.admitting
  }

  set admitting (admitting: boolean) {
    this.dispatcher.admitting = admitting
  }

  /**
   * @param worker - identifier of a worker
   * @returns number of permits in use there
   */
  permitCount (worker: string): number {
    return this.workers.get(worker)?.permits ?? 0
  }

  /**
   * Stops admitting work to a worker, and deletes its state once its permits and holds have ended.
   *
   * @param id - identifier of the worker
   * @param now - monotonic time in ms
   * @returns grants of asks that start on other workers
   */
  removeWorker (id: string, now: number): Decision[] {
    const workerState = this.workers.get(id)
    if (workerState === undefined) return []
    workerState.removed = true
    this.workers.refresh(workerState)
    this.runTimes.removeWorker(id)
    this.quarantine.remove(id)
    return this.dispatcher.dispatch(now)
  }

  /**
   * Closes a worker to new work, or reopens it.
   *
   * @param id - identifier of the worker
   * @param open - whether the owner may admit work to it
   */
  setOpen (id: string, open: boolean): void {
    const workerState = this.workers.get(id)
    if (workerState === undefined || workerState.closed === !open) return
    workerState.closed = !open
    this.workers.refresh(workerState)
  }

  /** @param id - identifier of a worker that is leaving and gets no new work */
  drainWorker (id: string): void {
    const workerState = this.workers.get(id)
    if (workerState === undefined) return
    workerState.draining = true
    this.workers.refresh(workerState)
  }

  /**
   * Handles a front's request for capacity.
   *
   * @param ask - the request
   * @param front - the front that sent it
   * @param now - monotonic time in ms
   * @returns a grant, a refusal, or nothing when the ask waits; a repeated ask gets the same grant again
   */
  ask (ask: Ask, front: Incarnation, now: number): Decision[] {
    return this.dispatcher.ask(ask, front, now)
  }

  /**
   * Cancels asks. The front must not use a grant that was sent before the cancellation arrived.
   *
   * @param asks - identifiers of asks
   * @param front - the front that sent them
   * @param now - monotonic time in ms
   * @returns refusals of the cancelled asks, and grants of asks that start in the freed capacity
   */
  cancel (asks: string[], front: Incarnation, now: number): Decision[] {
    const decisions = this.dispatcher.cancel(asks, front, now)
    return [...decisions, ...this.dispatcher.dispatch(now)]
  }

  /**
   * Releases a permit. Unknown permits are ignored. The capacity of work that may still be running stays counted until a
   * report of the worker shows that the work has ended, or until the class's bound and a margin have passed.
   *
   * @param release - the permit and how its work ended
   * @param front - the front that used it
   * @param now - monotonic time in ms
   * @returns grants of asks that start in the freed capacity
   */
  release (release: Release, front: Incarnation, now: number): Decision[] {
    const entry = this.ledger.permits.get(release.permit)
    if (entry === undefined || entry.front !== front) return []
    this.recordRelease(entry, release, now)
    if (release.ending === 'abandoned' || release.ending === 'cancelled') this.permitTracker.abandon(entry, now)
    else this.ledger.removePermit(entry)
    return this.dispatcher.dispatch(now)
  }

  /**
   * @param worker - identifier of a worker
   * @returns number of permits there whose work may still be running although no front waits for it; a report of the
   * worker frees them
   */
  orphanCount (worker: string): number {
    return this.permitTracker.getOrphans(worker).length
  }

  /**
   * Renews a front's permits from its complete list.
   *
   * @param front - the front
   * @param permits - all permits that it uses at workers of this owner
   * @param now - monotonic time in ms
   */
  renew (front: Incarnation, permits: Permit[], now: number): void {
    this.permitTracker.renew(front, permits, now)
  }

  /**
   * Handles the loss of a front. Its asks are dropped; its permits stay counted until their bound has passed or a worker's
   * report frees them.
   *
   * @param front - the front
   * @param now - monotonic time in ms
   */
  handleFrontLoss (front: Incarnation, now: number): void {
    this.permitTracker.markFrontLost(front, now)
    this.dispatcher.removeFront(front, now)
  }

  /**
   * Applies a worker's report of what it runs.
   *
   * @param worker - identifier of the worker
   * @param usage - what it runs, with the age of the figures
   * @param now - monotonic time in ms
   * @returns grants of asks that start in the freed capacity
   */
  applyReport (worker: string, usage: WorkerUsage, now: number): Decision[] {
    const workerState = this.workers.get(worker)
    if (workerState === undefined) return []
    this.permitTracker.applyReport(workerState, usage, now)
    return this.dispatcher.dispatch(now)
  }

  /**
   * Does the periodic work: expires permits and asks, and starts waiting asks. Call it every few tens of milliseconds.
   *
   * @param now - monotonic time in ms
   * @param peers - newest loads of the other owners
   * @returns refusals of asks whose patience ran out or that a peer has capacity for, and grants of asks that start
   */
  tick (now: number, peers: PeerLoad[] = []): Decision[] {
    this.peers.update(peers, now)
    this.permitTracker.expire(now)
    this.limits.recordDemand(now)
    this.longRuns.markLongRuns(this.classes.longRunThreshold(), now)
    for (const worker of this.quarantine.tick(now)) this.updateQuarantined(worker)
    return [...this.dispatcher.dispatch(now), ...this.dispatcher.expire(now)]
  }

  /**
   * Reserves capacity for a task of a job.
   *
   * @param worker - identifier of the worker
   * @param resources - what the task needs
   * @param className - class of the task
   * @param team - team whose quota applies, or empty
   * @param id - identifier of the hold; repeating a call with it has no further effect
   * @param now - monotonic time in ms
   * @returns whether the capacity is reserved
   */
  hold (worker: string, resources: Resources, className: string, team: string, id: string, now: number): boolean {
    if (this.ledger.getHold(id) !== undefined) return true
    const workerState = this.workers.get(worker)
    if (workerState === undefined || !this.ledger.fits(workerState, resources)) return false
    const classState = this.classes.get(className)
    const capacity = { slots: this.workers.slots, free: this.workers.freeSlots }
    const limit = this.limits.findLimit(classState, { team, resources }, capacity, this.preemptsTasks && classState.rule.kind === 'batch')
    if (limit !== null) return false
    this.classes.advanceVirtualTime(classState, resources.slots)
    const long = this.classes.isLong(classState)
    this.ledger.addHold(workerState, { id, worker, class: className, team, resources, long, heldAt: now })
    return true
  }

  /**
   * Counts a task that already runs on a worker, without checking any limit.
   *
   * @param worker - identifier of the worker
   * @param resources - what the task uses
   * @param className - class of the task
   * @param team - team whose quota applies, or empty
   * @param id - identifier of the hold; repeating a call with it has no further effect
   * @param now - monotonic time in ms
   */
  occupy (worker: string, resources: Resources, className: string, team: string, id: string, now: number): void {
    const workerState = this.workers.get(worker)
    if (workerState === undefined || this.ledger.getHold(id) !== undefined) return
    const classState = this.classes.get(className)
    this.classes.advanceVirtualTime(classState, resources.slots)
    this.ledger.addHold(workerState, { id, worker, class: className, team, resources, long: this.classes.isLong(classState), heldAt: now })
  }

  /**
   * Releases the capacity held for a task.
   *
   * @param id - identifier of the hold
   * @param now - monotonic time in ms
   * @param ending - how the task ended; `completed` and `failed` count for the worker's health, and only `completed` for the
   * run times of the class
   * @returns grants of asks that start in the freed capacity
   */
  releaseHold (id: string, now: number, ending: Ending | 'stopped' = 'stopped'): Decision[] {
    const hold = this.ledger.releaseHold(id, now)
    if (hold === undefined) return []
    if (ending === 'completed') this.recordRunTime(hold.class, hold.worker, now - hold.heldAt)
    if (ending === 'completed' || ending === 'failed') this.recordHealth(hold.worker, ending === 'completed', now)
    return this.dispatcher.dispatch(now)
  }

  /**
   * Sets how many tasks of jobs wait for capacity anywhere, so that short work leaves the minimum share of long work free.
   *
   * @param className - class of the tasks
   * @param count - number of tasks that wait
   */
  setWaitingTasks (className: string, count: number): void {
    this.classes.get(className).waitingTasks = count
  }

  /**
   * Computes how much capacity is missing for waiting work that may preempt tasks of lower priority.
   *
   * @returns the demand, with the priority of the highest such class, or `null` when nothing is to be preempted
   */
  preemptionDemand (): PreemptionDemand | null {
    return findPreemptionDemand(this.classes, this.limits, this.workers)
  }

  /**
   * @param worker - identifier of a worker
   * @returns free resources there; none for a worker that takes no new work
   */
  free (worker: string): Resources {
    const workerState = this.workers.get(worker)
    return workerState === undefined || !workerState.usable ? { ...NO_RESOURCES } : workerState.free()
  }

  /**
   * @param now - monotonic time in ms
   * @returns the load that is sent to other nodes
   */
  load (now: number): Load {
    return this.estimator.load(now)
  }

  /**
   * @param now - monotonic time in ms
   * @returns state of classes and workers, for operators
   */
  getStatus (now: number): AdmissionStatus {
    const { workers, classes, limits, quarantine, runTimes } = this
    return describeAdmission({ workers, classes, limits, quarantine, runTimes }, now)
  }

  private recordRelease (entry: PermitEntry, release: Release, now: number): void {
    if (release.ending === 'completed') {
      this.recordRunTime(entry.class, entry.worker, release.serviceTime)
    }
    // A front reports a request that it did not send with a service time of 0. It says nothing about the worker.
    const untried = release.ending === 'unsent' && release.serviceTime === 0
    if (untried || release.ending === 'cancelled') return
    this.recordHealth(entry.worker, release.ending === 'completed', now)
  }

  private recordHealth (worker: string, succeeded: boolean, now: number): void {
    if (this.quarantine.recordRun(worker, succeeded, now)) this.updateQuarantined(worker)
  }

  private recordRunTime (className: string, worker: string, time: number): void {
    this.runTimes.observe({ className, worker, time })
    this.runTimes.observe({ className: ALL_CLASSES, worker: '', time })
    const workerState = this.workers.get(worker)
    if (workerState !== undefined) workerState.slow = this.runTimes.getSlowness(worker) > SLOW_RATIO
  }

  private updateQuarantined (worker: string): void {
    const workerState = this.workers.get(worker)
    if (workerState === undefined) return
    const health = this.quarantine.getHealth(worker)
    workerState.quarantined = health === 'quarantined' || health === 'awaiting'
    this.workers.refresh(workerState)
  }
}
