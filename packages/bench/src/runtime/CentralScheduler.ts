import type { Work } from '../types/work.js'
import type { Machine } from './Cell.js'
import { HOP, Scheduler } from './Scheduler.js'
import type { SchedulerOptions } from './Scheduler.js'

/**
 * One queue before all workers with true run times known: strict priority, shortest first within a class, never idle
 * while work waits, no messages but the one that starts the work. No real scheduler can be told as much.
 */
export class CentralScheduler extends Scheduler {
  private readonly queues: Work[][]
  private readonly order: Map<string, number>
  private readonly free: Machine[] = []

  /** @param options - `order`: names of classes, highest priority first */
  constructor (options: SchedulerOptions & { order: string[] }) {
    super(options)
    this.order = new Map(options.order.map((name, index) => [name, index]))
    this.queues = options.order.map(() => [])
    for (const machine of this.cell.machines) {
      for (let slot = 0; slot < machine.slots; slot++) this.free.push(machine)
    }
  }

  override submit (work: Work): void {
    this.clock.schedule(HOP, () => {
      if (work.state !== 'waiting') return
      this.insert(work)
      this.startNext()
      this.clock.schedule(work.arrival + work.patience - this.clock.now(), () => { this.giveUp(work) })
    })
  }

  override withdraw (work: Work): void {
    this.drop(work)
    this.recorder.withdraw(work, this.clock.now())
  }

  private giveUp (work: Work): void {
    if (work.state !== 'waiting') return
    this.drop(work)
    this.recorder.refuse(work, this.clock.now())
  }

  private queueOf (work: Work): Work[] {
    return this.queues[this.order.get(work.class)!]!
  }

  private insert (work: Work): void {
    const queue = this.queueOf(work)
    let low = 0
    let high = queue.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (queue[middle]!.size <= work.size) low = middle + 1
      else high = middle
    }
    queue.splice(low, 0, work)
  }

  private drop (work: Work): void {
    const queue = this.queueOf(work)
    const index = queue.indexOf(work)
    if (index >= 0) queue.splice(index, 1)
  }

  private startNext (): void {
    while (this.free.length > 0) {
      const queue = this.queues.find(candidate => candidate.length > 0)
      if (queue === undefined) return
      const machine = this.free.pop()!
      this.cell.run(queue.shift()!, machine, () => {
        this.free.push(machine)
        this.startNext()
      })
    }
  }
}
