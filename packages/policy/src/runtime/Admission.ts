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

/** A worker is slow when its runs take this many times as long as those of its classes. */
const SLOW_RATIO = 1.5

/** Admits work to the workers of one owner: the books of these workers, and the queue before them. */
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

  /** @param options - rules, sources of time and randomness, and limits */
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
   * Puts new rules in force; permits in use stay.
   *
   * @param classes - rules of all classes
   * @param teams - quotas of teams
   * @param now - ms
   * @returns what the new rules let start
   */
  configure (classes: ResolvedClass[], teams: ResolvedTeam[], now: number): Decision[] {
    this.classes.configure(classes, teams)
    return this.dispatcher.dispatch(now)
  }

  /**
   * Takes over a worker.
   *
   * @param worker - the worker
   * @param now - ms
   * @param unknown - room counted as used until `confirm`
   */
  addWorker (worker: WorkerDescription, now: number, unknown: Resources = NO_RESOURCES): void {
    this.workers.add(worker, now, unknown)
    this.quarantine.add(worker.id)
  }

  /**
   * Counts permits that a front says it uses at workers taken over. Known permits are not counted twice.
   *
   * @param front - the front
   * @param permits - all its permits at workers of this owner
   * @param now - ms
   */
  adopt (front: Incarnation, permits: Permit[], now: number): void {
    this.permitTracker.adopt(front, permits, now)
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
    const workerState = this.workers.get(worker)
    if (workerState === undefined) return []
    workerState.unknown = { ...NO_RESOURCES, slots: unclaimed }
    this.workers.refresh(workerState)
    return this.dispatcher.dispatch(now)
  }

  /** @returns whether grants may be given now; asks wait while it is off */
  get admitting (): boolean {
    return this.dispatcher.admitting
  }

  set admitting (admitting: boolean) {
    this.dispatcher.admitting = admitting
  }

  /**
   * @param worker - a worker
   * @returns permits in use there
   */
  permitCount (worker: string): number {
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
    const workerState = this.workers.get(id)
    if (workerState === undefined) return []
    workerState.removed = true
    this.workers.refresh(workerState)
    this.runTimes.removeWorker(id)
    this.quarantine.remove(id)
    return this.dispatcher.dispatch(now)
  }

  /**
   * Closes a worker to new work, or opens it again.
   *
   * @param id - the worker
   * @param open - whether the owner may fill it
   */
  setOpen (id: string, open: boolean): void {
    const workerState = this.workers.get(id)
    if (workerState === undefined || workerState.closed === !open) return
    workerState.closed = !open
    this.workers.refresh(workerState)
  }

  /** @param id - a worker that is leaving and gets no new work */
  drainWorker (id: string): void {
    const workerState = this.workers.get(id)
    if (workerState === undefined) return
    workerState.draining = true
    this.workers.refresh(workerState)
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
    return this.dispatcher.ask(ask, front, now)
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
    const decisions = this.dispatcher.cancel(asks, front, now)
    return [...decisions, ...this.dispatcher.dispatch(now)]
  }

  /**
   * Takes a permit back. Unknown permits are ignored. Room of work that may still go on stays counted until a report
   * of the worker shows that it ended, or until its bound and a margin have passed.
   *
   * @param release - the permit and how its work ended
   * @param front - who used it
   * @param now - ms
   * @returns what starts in the room
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
   * @param worker - a worker
   * @returns permits there whose work may go on although no front waits for it; a report frees them
   */
  orphanCount (worker: string): number {
    return this.permitTracker.getOrphans(worker).length
  }

  /**
   * Renews a front's permits by its whole list.
   *
   * @param front - the front
   * @param permits - all permits that it uses at workers of this owner
   * @param now - ms
   */
  renew (front: Incarnation, permits: Permit[], now: number): void {
    this.permitTracker.renew(front, permits, now)
  }

  /**
   * Notes that a front is gone. Its permits stay counted until their bound or a worker's report frees them.
   *
   * @param front - the front
   * @param now - ms
   */
  handleFrontLoss (front: Incarnation, now: number): void {
    this.permitTracker.markFrontLost(front, now)
    this.dispatcher.removeFront(front, now)
  }

  /**
   * Takes in what a worker says it runs.
   *
   * @param worker - the worker
   * @param usage - what it runs, with the age of the figures
   * @param now - ms
   * @returns what starts in room that became free
   */
  applyReport (worker: string, usage: WorkerUsage, now: number): Decision[] {
    const workerState = this.workers.get(worker)
    if (workerState === undefined) return []
    this.permitTracker.applyReport(workerState, usage, now)
    return this.dispatcher.dispatch(now)
  }

  /**
   * Does what is due. Call it every few tens of milliseconds.
   *
   * @param now - ms
   * @param peers - newest loads of the other owners
   * @returns refusals of asks whose patience ran out or that a peer has room for, and what starts
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
   * Counts a task that runs on a worker already, past every limit.
   *
   * @param worker - where
   * @param resources - how much
   * @param className - class of the task
   * @param team - team whose quota applies, or empty
   * @param id - identifies the hold; repeating it has no further effect
   * @param now - ms
   */
  occupy (worker: string, resources: Resources, className: string, team: string, id: string, now: number): void {
    const workerState = this.workers.get(worker)
    if (workerState === undefined || this.ledger.getHold(id) !== undefined) return
    const classState = this.classes.get(className)
    this.classes.advanceVirtualTime(classState, resources.slots)
    this.ledger.addHold(workerState, { id, worker, class: className, team, resources, long: this.classes.isLong(classState), heldAt: now })
  }

  /**
   * @param id - a hold that is no longer needed
   * @param now - ms
   * @param ending - how the task ended; only `completed` and `failed` tell of its run time and of the worker
   * @returns what starts in the room
   */
  releaseHold (id: string, now: number, ending: Ending | 'stopped' = 'stopped'): Decision[] {
    const hold = this.ledger.releaseHold(id, now)
    if (hold === undefined) return []
    if (ending === 'completed') this.recordRunTime(hold.class, hold.worker, now - hold.heldAt)
    if (ending === 'completed' || ending === 'failed') this.recordHealth(hold.worker, ending === 'completed', now)
    return this.dispatcher.dispatch(now)
  }

  /**
   * Notes how many tasks of jobs wait for room anywhere, so that short work leaves long work its least part.
   *
   * @param className - class of the tasks
   * @param count - tasks that wait
   */
  setWaitingTasks (className: string, count: number): void {
    this.classes.get(className).waitingTasks = count
  }

  /**
   * Tells what room waiting work lacks that may preempt tasks of lower priority.
   *
   * @returns the need of the highest such class, or `null`
   */
  preemptionDemand (): PreemptionDemand | null {
    return findPreemptionDemand(this.classes, this.limits, this.workers)
  }

  /**
   * @param worker - a worker
   * @returns what is free there; nothing for a worker that takes no new work
   */
  free (worker: string): Resources {
    const workerState = this.workers.get(worker)
    return workerState === undefined || !workerState.usable ? { ...NO_RESOURCES } : workerState.free()
  }

  /**
   * @param now - ms
   * @returns what other nodes are told
   */
  load (now: number): Load {
    return this.estimator.load(now)
  }

  /**
   * @param now - ms
   * @returns how classes and workers stand, for operators
   */
  getStatus (now: number): AdmissionStatus {
    const { workers, classes, limits, quarantine, runTimes } = this
    return describeAdmission({ workers, classes, limits, quarantine, runTimes }, now)
  }

  private recordRelease (entry: PermitEntry, release: Release, now: number): void {
    if (release.ending === 'completed') {
      this.recordRunTime(entry.class, entry.worker, release.serviceTime)
    }
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
