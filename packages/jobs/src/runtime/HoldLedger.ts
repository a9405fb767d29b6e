import type { Incarnation, Instance } from '@rattanstep/core'
import { subtractResources } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import type { MessageBody, Hold, HoldRequest } from '../types/messages.js'
import { chooseVictims } from './chooseVictims.js'
import type { VictimChoice } from './chooseVictims.js'
import type { Messenger } from './Messenger.js'
import type { WorkerSupervisor } from './WorkerSupervisor.js'

/** Capacity held for one placement unit of a job. */
interface UnitHolds {
  holds: Hold[]
  expiresAt: number
}

/** Keeps capacity from jobs of lower priority and from younger jobs of the same priority, in favour of one job. */
interface Reservation {
  priority: number
  submitted: number
  expiresAt: number
}

/** Retention of closed units, as a multiple of the hold duration. */
const CLOSED_UNIT_RETENTION_HOLDS = 10

/** Time after which a reservation expires unless the job repeats its request, as a multiple of the hold duration. */
const RESERVATION_HOLDS = 2

type Need = HoldRequest['needs'][number]

/** Grants the drivers of jobs short-lived holds on the capacity of the workers that this node supervises. */
export class HoldLedger {
  private readonly context: Context
  private readonly messenger: Messenger
  private readonly supervisors: ReadonlyMap<string, WorkerSupervisor>
  private readonly isQuarantined: (worker: string) => boolean
  private readonly units = new Map<string, UnitHolds>()
  private readonly reservations = new Map<string, Reservation>()
  /** Units that were released or committed, with the time at which they are dropped. A late repeat of their request is refused. */
  private readonly closedUnits = new Map<string, number>()
  /** Time until which no further tasks are preempted for a job. */
  private readonly preemptingUntil = new Map<string, number>()
  private holdCount = 0

  /** @param options - `supervisors`: supervisor of each worker of this node; `isQuarantined`: whether a worker may receive no new tasks */
  constructor (options: { context: Context, messenger: Messenger, supervisors: ReadonlyMap<string, WorkerSupervisor>, isQuarantined: (worker: string) => boolean }) {
    this.context = options.context
    this.messenger = options.messenger
    this.supervisors = options.supervisors
    this.isQuarantined = options.isQuarantined
  }

  /**
   * Answers a request to hold capacity. A repeated request is answered with the holds that were granted first.
   *
   * @param from - the driver
   * @param request - the tasks that need capacity
   */
  handleRequest (from: Incarnation, request: HoldRequest): void {
    const known = this.units.get(request.unit)
    const holds = known?.holds ?? (this.closedUnits.has(request.unit) ? [] : this.allocate(request))
    this.messenger.send(from, 'held', { unit: request.unit, holds })
  }

  /** @param body - a unit whose placement was not written and never will be; all its holds are released */
  handleRelease (body: MessageBody<'release'>): void {
    const unit = this.closeUnit(body.unit)
    for (const hold of unit?.holds ?? []) this.context.capacity.release(hold.hold)
  }

  /** @param body - a unit whose placement was written; the holds that the placement does not use are released */
  handleCommitted (body: MessageBody<'committed'>): void {
    const used = new Set(body.holds)
    for (const hold of this.closeUnit(body.unit)?.holds ?? []) {
      if (!used.has(hold.hold)) this.context.capacity.release(hold.hold)
    }
  }

  /**
   * @param worker - identifier of a worker
   * @returns whether capacity of the worker is held for a placement that may yet be written
   */
  hasHoldsOn (worker: string): boolean {
    return [...this.units.values()].some(unit => unit.holds.some(hold => hold.worker === worker))
  }

  /**
   * Removes expired units, reservations and retention records. The capacity of an expired hold stays in use until its
   * placement can no longer be written.
   */
  expire (): void {
    const now = this.context.clock.now()
    for (const [name, unit] of this.units) {
      if (unit.expiresAt > now) continue
      this.units.delete(name)
      for (const hold of unit.holds) this.deferRelease(hold)
    }
    for (const [job, reservation] of this.reservations) {
      if (reservation.expiresAt <= now) this.reservations.delete(job)
    }
    for (const expiryTimes of [this.closedUnits, this.preemptingUntil]) {
      for (const [name, until] of expiryTimes) {
        if (until <= now) expiryTimes.delete(name)
      }
    }
  }

  /**
   * Releases all holds on a worker that this node no longer supervises.
   *
   * @param worker - identifier of the worker
   */
  dropWorker (worker: string): void {
    for (const unit of this.units.values()) {
      for (const hold of unit.holds.filter(entry => entry.worker === worker)) this.context.capacity.release(hold.hold)
      unit.holds = unit.holds.filter(entry => entry.worker !== worker)
    }
  }

  private closeUnit (name: string): UnitHolds | undefined {
    const unit = this.units.get(name)
    this.units.delete(name)
    this.closedUnits.set(name, this.context.clock.now() + CLOSED_UNIT_RETENTION_HOLDS * this.context.tuning.holdDuration)
    return unit
  }

  private deferRelease (hold: Hold): void {
    const supervisor = this.supervisors.get(hold.worker)
    if (supervisor === undefined) this.context.capacity.release(hold.hold)
    else supervisor.deferRelease(hold.hold)
  }

  private allocate (request: HoldRequest): Hold[] {
    const now = this.context.clock.now()
    const expiresAt = now + this.context.tuning.holdDuration
    if (request.insists) this.reserve(request, now + RESERVATION_HOLDS * this.context.tuning.holdDuration)
    if (this.isBlockedByReservation(request)) return []
    const largestFirst = [...request.needs].sort((a, b) => this.dominantShare(b) - this.dominantShare(a) || a.index - b.index)
    const holds = largestFirst.flatMap(need => this.holdFor(request, need) ?? [])
    if (holds.length > 0) this.units.set(request.unit, { holds, expiresAt })
    if (holds.length < request.needs.length && request.preemptsBelow !== null) this.preempt(request, holds, request.preemptsBelow)
    return holds
  }

  private reserve (request: HoldRequest, expiresAt: number): void {
    const { job, priority, submitted } = request
    this.reservations.set(job, { priority, submitted, expiresAt })
  }

  /** Preempts tasks for a job, at most once per reservation, and reserves capacity for the job until it repeats its request. */
  private preempt (request: HoldRequest, holds: Hold[], below: number): void {
    const now = this.context.clock.now()
    if ((this.preemptingUntil.get(request.job) ?? 0) > now) return
    const held = new Set(holds.map(hold => hold.index))
    const needs = request.needs.filter(need => !held.has(need.index)).map(need => need.resources)
    const available = [...this.supervisors.values()].filter(supervisor => supervisor.acceptsTasks)
    const choices = chooseVictims(available, needs, below, this.context)
    if (choices.length === 0) return
    const expiresAt = now + RESERVATION_HOLDS * this.context.tuning.holdDuration
    this.preemptingUntil.set(request.job, expiresAt)
    this.reserve(request, expiresAt)
    for (const choice of choices) this.vacateVictims(choice, request.job)
  }

  private vacateVictims (choice: VictimChoice, job: string): void {
    const { supervisor, victims } = choice
    this.context.log.write(EVENTS.preempted, { job, worker: supervisor.worker, tasks: victims.size })
    supervisor.vacate(placement => victims.has(placement)).catch((error: unknown) => {
      this.context.log.write(EVENTS.fault, { step: 'preempt', error: String(error) })
    })
  }

  private isBlockedByReservation (request: HoldRequest): boolean {
    const now = this.context.clock.now()
    return [...this.reservations].some(([job, { priority, submitted, expiresAt }]) => {
      if (job === request.job || expiresAt <= now || priority < request.priority) return false
      return priority > request.priority || submitted < request.submitted || (submitted === request.submitted && job < request.job)
    })
  }

  private holdFor (request: HoldRequest, need: Need): Hold | null {
    const hold = `${this.context.self}/${this.holdCount++}`
    for (const supervisor of this.rankWorkers(need)) {
      if (!this.context.capacity.tryHold(supervisor.worker, need.resources, request.class, request.team, hold)) continue
      return { index: need.index, worker: supervisor.worker, version: supervisor.claim.version, hold }
    }
    return null
  }

  /** Best fit first: by the smallest remaining share, then by identifier. */
  private rankWorkers (need: Need): WorkerSupervisor[] {
    return [...this.supervisors.values()]
      .filter(supervisor => supervisor.acceptsTasks && !need.avoid.includes(supervisor.worker) && !this.isQuarantined(supervisor.worker))
      .map(supervisor => ({ supervisor, remaining: this.remainingShare(supervisor.instance!, need) }))
      .sort((a, b) => a.remaining - b.remaining || (a.supervisor.worker < b.supervisor.worker ? -1 : 1))
      .map(entry => entry.supervisor)
  }

  /** Largest share that a need takes of any resource, relative to the largest worker of this node. */
  private dominantShare (need: Need): number {
    const names = ['slots', 'cores', 'memory', 'accelerators'] as const
    const totals = [...this.supervisors.values()].flatMap(supervisor => supervisor.instance?.resources ?? [])
    return Math.max(...names.map(name => need.resources[name] / Math.max(1, ...totals.map(total => total[name]))))
  }

  /** Sum over all resources of the fraction of the worker that would stay free. */
  private remainingShare (instance: Instance, need: Need): number {
    const remaining = subtractResources(this.context.capacity.free(instance.id), need.resources)
    const total = instance.resources
    const freeShare = (name: keyof typeof total): number => total[name] === 0 ? 0 : remaining[name] / total[name]
    return freeShare('slots') + freeShare('cores') + freeShare('memory') + freeShare('accelerators')
  }
}
