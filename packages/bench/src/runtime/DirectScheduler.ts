import type { Random } from '@rattanstep/core'
import type { Work } from '../types/work.js'
import type { Machine } from './Cell.js'
import { Deadlines } from './Deadlines.js'
import { HOP, Scheduler } from './Scheduler.js'
import type { SchedulerOptions } from './Scheduler.js'

/** A worker as the router sees it, exactly and without delay. */
export interface Target {
  machine: Machine
  /** Items sent that have not ended. */
  active: number
  /** Expected run times of these items, in ms. */
  expected: number
  /** Items sent, of which some may have been given up. */
  queue: Work[]
  /** Items before this index are gone. */
  first: number
  /** Part of recent runs that failed. */
  failing: number
}

/** How a target is picked. */
export type Pick = (targets: Target[], work: Work, random: Random) => Target

/** Weight of the newest run in a target's part of failures. */
const NEWEST = 0.1

/**
 * Sends each item at once to a worker, in whose queue it waits first in, first out. The routers share one exact view,
 * which is more than independent entry instances have.
 */
export class DirectScheduler extends Scheduler {
  private readonly targets: Target[]
  private readonly pick: Pick
  private readonly random: Random
  private readonly sentTo = new Map<Work, Target>()
  private readonly deadlines: Deadlines
  private readonly declared: ReadonlyMap<string, number>

  /** @param options - `pick`: how to pick a worker; `declared`: declared run time in ms of each class */
  constructor (options: SchedulerOptions & { pick: Pick, random: Random, declared: ReadonlyMap<string, number> }) {
    super(options)
    this.pick = options.pick
    this.random = options.random
    this.declared = options.declared
    this.targets = this.cell.machines.map(machine => ({ machine, active: 0, expected: 0, queue: [], first: 0, failing: 0 }))
    this.deadlines = new Deadlines({ clock: this.clock, giveUp: work => { this.giveUp(work) } })
  }

  override submit (work: Work): void {
    const target = this.pick(this.targets, work, this.random)
    target.active++
    target.expected += this.declaredTime(work)
    this.sentTo.set(work, target)
    this.deadlines.add(work)
    this.clock.schedule(HOP, () => {
      if (work.state !== 'waiting') return
      target.queue.push(work)
      this.startNext(target)
    })
  }

  override withdraw (work: Work): void {
    this.settle(work)
    this.recorder.withdraw(work, this.clock.now())
  }

  private giveUp (work: Work): void {
    this.settle(work)
    this.recorder.refuse(work, this.clock.now())
  }

  private startNext (target: Target): void {
    const { queue, machine } = target
    while (machine.busy < machine.slots && target.first < queue.length) {
      const work = queue[target.first++]!
      if (work.state !== 'waiting') continue
      this.cell.run(work, machine, succeeded => {
        target.failing += ((succeeded ? 0 : 1) - target.failing) * NEWEST
        this.settle(work)
        this.startNext(target)
      })
    }
  }

  private settle (work: Work): void {
    const target = this.sentTo.get(work)
    if (target === undefined) return
    this.sentTo.delete(work)
    target.active--
    target.expected -= this.declaredTime(work)
  }

  private declaredTime (work: Work): number {
    return this.declared.get(work.class) ?? 0
  }
}
