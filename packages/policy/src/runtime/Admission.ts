import { NO_RESOURCES } from '@rattanstep/core'
import type { Ask, Ending, Incarnation, Load, Permit, Release, Resources } from '@rattanstep/core'
import type { ResolvedClass, ResolvedTeam } from '@rattanstep/rules'
import type { Decision, PeerLoad, WorkerRoom, WorkerUsage } from '../types/decision.js'
import type { AdmissionOptions } from '../types/options.js'
import type { AdmissionStatus } from '../types/status.js'
import { ALL_CLASSES } from './ClassBooks.js'
import type { ClassBooks } from './ClassBooks.js'
import { createParts } from './createParts.js'
import type { Dispatcher } from './Dispatcher.js'
import { explainBooks } from './explainBooks.js'
import type { Ledger } from './Ledger.js'
import { findPressure } from './findPressure.js'
import type { Pressure } from './findPressure.js'
import type { LongRuns } from './LongRuns.js'
import type { Peers } from './Peers.js'
import type { PermitEntry } from './PermitBook.js'
import type { PermitKeeper } from './PermitKeeper.js'
import type { Projection } from './Projection.js'
import type { Quarantine } from './Quarantine.js'
import type { RoomLimits } from './RoomLimits.js'
import type { RunTimes } from './RunTimes.js'
import type { WorkerBooks } from './WorkerBooks.js'

/** A worker is slow when its runs take this many times as long as those of its classes. */
const SLOW_FACTOR = 1.5

/** Admits work to the workers of one owner: the books of these workers, and the queue before them. */
export class Admission {
  readonly runTimes: RunTimes
  private readonly preemptsTasks: boolean
  private readonly workers: WorkerBooks
  private readonly classes: ClassBooks
  private readonly limits: RoomLimits
  private readonly ledger: Ledger
  private readonly projection: Projection
  private readonly keeper: PermitKeeper
  private readonly dispatcher: Dispatcher
  private readonly quarantine: Quarantine
  private readonly longRuns: LongRuns
  private readonly peers: Peers

  /** @param options - rules, sources of time and randomness, and limits */
  constructor (options: AdmissionOptions) {
    const parts = createParts(options)
    this.preemptsTasks = options.preemptsTasks ?? false
    this.runTimes = parts.runTimes
    this.workers = parts.workers
    this.classes = parts.classes
    this.limits = parts.limits
    this.ledger = parts.ledger
    this.projection = parts.projection
    this.quarantine = parts.quarantine
    this.longRuns = parts.longRuns
    this.peers = parts.peers
    this.keeper = parts.keeper
    this.dispatcher = parts.dispatcher
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
  addWorker (worker: WorkerRoom, now: number, unknown: Resources = NO_RESOURCES): void {
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
    this.keeper.adopt(front, permits, now)
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
    const book = this.workers.get(id)
    if (book === undefined || book.closed === !open) return
    book.closed = !open
    this.workers.refresh(book)
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
    this.learn(entry, release, now)
    if (release.ending === 'abandoned' || release.ending === 'cancelled') this.keeper.abandon(entry, now)
    else this.ledger.close(entry)
    return this.dispatcher.dispatch(now)
  }

  /**
   * @param worker - a worker
   * @returns permits there whose work may go on although no front waits for it; a report frees them
   */
  orphansOf (worker: string): number {
    return this.keeper.orphansAt(worker).length
  }

  /**
   * Renews a front's permits by its whole list.
   *
   * @param front - the front
   * @param permits - all permits that it uses at workers of this owner
   * @param now - ms
   */
  renew (front: Incarnation, permits: Permit[], now: number): void {
    this.keeper.renew(front, permits, now)
  }

  /**
   * Notes that a front is gone. Its permits stay counted until their bound or a worker's report frees them.
   *
   * @param front - the front
   * @param now - ms
   */
  frontLost (front: Incarnation, now: number): void {
    this.keeper.lose(front, now)
    this.dispatcher.drop(front, now)
  }

  /**
   * Takes in what a worker says it runs.
   *
   * @param worker - the worker
   * @param usage - what it runs, with the age of the figures
   * @param now - ms
   * @returns what starts in room that became free
   */
  reported (worker: string, usage: WorkerUsage, now: number): Decision[] {
    const book = this.workers.get(worker)
    if (book === undefined) return []
    this.keeper.reported(book, usage, now)
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
    this.keeper.expire(now)
    this.limits.notePeak(now)
    this.longRuns.sweep(this.classes.longThreshold(), now)
    for (const worker of this.quarantine.tick(now)) this.followTrust(worker)
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
    const book = this.workers.get(worker)
    if (book === undefined || !this.ledger.fits(book, resources)) return false
    const classBook = this.classes.get(className)
    const room = { slots: this.workers.slots, free: this.workers.freeSlots }
    const limit = this.limits.limit(classBook, { team, resources }, room, this.preemptsTasks && classBook.rule.kind === 'batch')
    if (limit !== null) return false
    this.classes.charge(classBook, resources.slots)
    const long = this.classes.isLong(classBook)
    this.ledger.hold(book, { id, worker, class: className, team, resources, long, heldAt: now })
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
    const book = this.workers.get(worker)
    if (book === undefined || this.ledger.getHold(id) !== undefined) return
    const classBook = this.classes.get(className)
    this.classes.charge(classBook, resources.slots)
    this.ledger.hold(book, { id, worker, class: className, team, resources, long: this.classes.isLong(classBook), heldAt: now })
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
    if (ending === 'completed') this.observeTime(hold.class, hold.worker, now - hold.heldAt)
    if (ending === 'completed' || ending === 'failed') this.judge(hold.worker, ending === 'completed', now)
    return this.dispatcher.dispatch(now)
  }

  /**
   * Notes how many tasks of jobs wait for room anywhere, so that short work leaves long work its least part.
   *
   * @param className - class of the tasks
   * @param count - tasks that wait
   */
  noteWaitingTasks (className: string, count: number): void {
    this.classes.get(className).waitingTasks = count
  }

  /**
   * Tells what room waiting work lacks that may preempt tasks of lower priority.
   *
   * @returns the need of the highest such class, or `null`
   */
  pressure (): Pressure | null {
    return findPressure(this.classes, this.limits, this.workers)
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

  /**
   * @param now - ms
   * @returns how classes and workers stand, for operators
   */
  explain (now: number): AdmissionStatus {
    const { workers, classes, limits, quarantine, runTimes } = this
    return explainBooks({ workers, classes, limits, quarantine, runTimes }, now)
  }

  private learn (entry: PermitEntry, release: Release, now: number): void {
    if (release.ending === 'completed') {
      this.observeTime(entry.class, entry.worker, release.serviceTime)
    }
    const untried = release.ending === 'unsent' && release.serviceTime === 0
    if (untried || release.ending === 'cancelled') return
    this.judge(entry.worker, release.ending === 'completed', now)
  }

  private judge (worker: string, succeeded: boolean, now: number): void {
    if (this.quarantine.observe(worker, succeeded, now)) this.followTrust(worker)
  }

  private observeTime (className: string, worker: string, time: number): void {
    this.runTimes.observe({ className, worker, time })
    this.runTimes.observe({ className: ALL_CLASSES, worker: '', time })
    const book = this.workers.get(worker)
    if (book !== undefined) book.slow = this.runTimes.factor(worker) > SLOW_FACTOR
  }

  private followTrust (worker: string): void {
    const book = this.workers.get(worker)
    if (book === undefined) return
    const trust = this.quarantine.trust(worker)
    book.quarantined = trust === 'quarantined' || trust === 'awaiting'
    this.workers.refresh(book)
  }
}
