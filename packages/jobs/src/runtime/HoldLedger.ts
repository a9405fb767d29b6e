import type { Incarnation, Instance } from '@rattanstep/core'
import { subtractResources } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import type { Body, Hold, HoldRequest } from '../types/messages.js'
import { chooseVictims } from './chooseVictims.js'
import type { VictimChoice } from './chooseVictims.js'
import type { Post } from './Messenger.js'
import type { WorkerKeeper } from './WorkerSupervisor.js'

/** Room held for one unit of a job. */
interface HeldUnit {
  holds: Hold[]
  until: number
}

/** A job that jobs of lower priority, and younger ones, make way for. */
interface Insistence {
  priority: number
  submitted: number
  until: number
}

/** Lengths of a hold for which closed units are remembered. */
const REMEMBER_HOLDS = 10

/** Lengths of a hold for which room is kept for a job between two of its requests. */
const KEPT_HOLDS = 2

type Need = HoldRequest['needs'][number]

/** Gives room on the workers kept here to the drivers of jobs, for a short time each. */
export class HoldBook {
  private readonly context: Context
  private readonly post: Post
  private readonly keepers: ReadonlyMap<string, WorkerKeeper>
  private readonly isQuarantined: (worker: string) => boolean
  private readonly units = new Map<string, HeldUnit>()
  private readonly insistences = new Map<string, Insistence>()
  /** Units that were released or written, so that a late repeat of their request is given nothing. */
  private readonly closed = new Map<string, number>()
  /** Until when no further tasks are moved off for a job. */
  private readonly preempting = new Map<string, number>()
  private given = 0

  /** @param options - `keepers`: workers kept here; `isQuarantined`: workers that are given nothing new */
  constructor (options: { context: Context, post: Post, keepers: ReadonlyMap<string, WorkerKeeper>, isQuarantined: (worker: string) => boolean }) {
    this.context = options.context
    this.post = options.post
    this.keepers = options.keepers
    this.isQuarantined = options.isQuarantined
  }

  /**
   * @param from - the driver
   * @param request - what it needs; a repeat is answered as before
   */
  request (from: Incarnation, request: HoldRequest): void {
    const known = this.units.get(request.unit)
    const holds = known?.holds ?? (this.closed.has(request.unit) ? [] : this.give(request))
    this.post.send(from, 'held', { unit: request.unit, holds })
  }

  /** @param body - a unit whose placement did not take effect and never will */
  release (body: Body<'release'>): void {
    const unit = this.close(body.unit)
    for (const hold of unit?.holds ?? []) this.context.room.release(hold.hold)
  }

  /** @param body - a unit whose placement was written; its workers are looked at */
  committed (body: Body<'committed'>): void {
    const used = new Set(body.holds)
    for (const hold of this.close(body.unit)?.holds ?? []) {
      if (!used.has(hold.hold)) this.context.room.release(hold.hold)
    }
  }

  /**
   * @param worker - a worker
   * @returns whether room on it is held for a placement that may be written
   */
  hasFor (worker: string): boolean {
    return [...this.units.values()].some(unit => unit.holds.some(hold => hold.worker === worker))
  }

  /** Ends holds that are overdue; their room stays taken until their placement can no longer be written. */
  expire (): void {
    const now = this.context.clock.now()
    for (const [name, unit] of this.units) {
      if (unit.until > now) continue
      this.units.delete(name)
      for (const hold of unit.holds) this.doubt(hold)
    }
    for (const [job, insistence] of this.insistences) {
      if (insistence.until <= now) this.insistences.delete(job)
    }
    for (const ends of [this.closed, this.preempting]) {
      for (const [name, until] of ends) {
        if (until <= now) ends.delete(name)
      }
    }
  }

  /**
   * Forgets holds on a worker that is no longer kept here.
   *
   * @param worker - the worker
   */
  drop (worker: string): void {
    for (const unit of this.units.values()) {
      for (const hold of unit.holds.filter(entry => entry.worker === worker)) this.context.room.release(hold.hold)
      unit.holds = unit.holds.filter(entry => entry.worker !== worker)
    }
  }

  private close (name: string): HeldUnit | undefined {
    const unit = this.units.get(name)
    this.units.delete(name)
    this.closed.set(name, this.context.clock.now() + REMEMBER_HOLDS * this.context.tuning.hold)
    return unit
  }

  private doubt (hold: Hold): void {
    const keeper = this.keepers.get(hold.worker)
    if (keeper === undefined) this.context.room.release(hold.hold)
    else keeper.doubt(hold.hold)
  }

  private give (request: HoldRequest): Hold[] {
    const now = this.context.clock.now()
    const until = now + this.context.tuning.hold
    if (request.insists) this.insist(request, now + KEPT_HOLDS * this.context.tuning.hold)
    if (this.mustMakeWay(request)) return []
    const largestFirst = [...request.needs].sort((a, b) => this.size(b) - this.size(a) || a.index - b.index)
    const holds = largestFirst.flatMap(need => this.take(request, need) ?? [])
    if (holds.length > 0) this.units.set(request.unit, { holds, until })
    if (holds.length < request.needs.length && request.preemptsBelow !== null) this.preempt(request, holds, request.preemptsBelow)
    return holds
  }

  private insist (request: HoldRequest, until: number): void {
    const { job, priority, submitted } = request
    this.insistences.set(job, { priority, submitted, until })
  }

  /** Moves tasks off, one round at a time for each job; their room is kept for it until it asks again. */
  private preempt (request: HoldRequest, holds: Hold[], below: number): void {
    const now = this.context.clock.now()
    if ((this.preempting.get(request.job) ?? 0) > now) return
    const held = new Set(holds.map(hold => hold.index))
    const needs = request.needs.filter(need => !held.has(need.index)).map(need => need.resources)
    const open = [...this.keepers.values()].filter(keeper => keeper.isOpen)
    const choices = chooseVictims(open, needs, below, this.context)
    if (choices.length === 0) return
    const until = now + KEPT_HOLDS * this.context.tuning.hold
    this.preempting.set(request.job, until)
    this.insist(request, until)
    for (const choice of choices) this.moveOff(choice, request.job)
  }

  private moveOff (choice: VictimChoice, job: string): void {
    const { keeper, victims } = choice
    this.context.log.write(EVENTS.preempted, { job, worker: keeper.worker, tasks: victims.size })
    keeper.vacate(placement => victims.has(placement)).catch((error: unknown) => {
      this.context.log.write(EVENTS.fault, { step: 'preempt', error: String(error) })
    })
  }

  private mustMakeWay (request: HoldRequest): boolean {
    const now = this.context.clock.now()
    return [...this.insistences].some(([job, { priority, submitted, until }]) => {
      if (job === request.job || until <= now || priority < request.priority) return false
      return priority > request.priority || submitted < request.submitted || (submitted === request.submitted && job < request.job)
    })
  }

  private take (request: HoldRequest, need: Need): Hold | null {
    const hold = `${this.context.self}/${this.given++}`
    for (const keeper of this.rank(need)) {
      if (!this.context.room.tryHold(keeper.worker, need.resources, request.class, request.team, hold)) continue
      return { index: need.index, worker: keeper.worker, version: keeper.claim.version, hold }
    }
    return null
  }

  /** Best fit first: the worker that is left with least; equal ones in the order of their names. */
  private rank (need: Need): WorkerKeeper[] {
    return [...this.keepers.values()]
      .filter(keeper => keeper.isOpen && !need.avoid.includes(keeper.worker) && !this.isQuarantined(keeper.worker))
      .map(keeper => ({ keeper, left: this.leftover(keeper.instance!, need) }))
      .sort((a, b) => a.left - b.left || (a.keeper.worker < b.keeper.worker ? -1 : 1))
      .map(entry => entry.keeper)
  }

  /** Largest part that a need takes of any resource of the largest worker here. */
  private size (need: Need): number {
    const names = ['slots', 'cores', 'memory', 'accelerators'] as const
    const totals = [...this.keepers.values()].flatMap(keeper => keeper.instance?.resources ?? [])
    return Math.max(...names.map(name => need.resources[name] / Math.max(1, ...totals.map(total => total[name]))))
  }

  /** Sum over the resources of the part that would stay free. */
  private leftover (instance: Instance, need: Need): number {
    const left = subtractResources(this.context.room.free(instance.id), need.resources)
    const total = instance.resources
    const part = (name: keyof typeof total): number => total[name] === 0 ? 0 : left[name] / total[name]
    return part('slots') + part('cores') + part('memory') + part('accelerators')
  }
}
