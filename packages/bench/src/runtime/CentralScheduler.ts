import type { Work } from '../types/work.js'
import type { Machine } from './WorkerPool.js'
import { Deadlines } from './Deadlines.js'
import { MESSAGE_DELAY_MS, Scheduler } from './Scheduler.js'
import type { SchedulerOptions } from './Scheduler.js'

/**
 * An upper bound for real schedulers: one queue for all workers, with exact knowledge of run times, strict priority and
 * shortest-first order within a class. No slot is idle while work waits, and the only message is the one that starts the
 * work. No real scheduler has this knowledge.
 */
export class CentralScheduler extends Scheduler {
  /** Queue of each class, shortest item last; includes items that no longer wait. */
  private readonly queues: Work[][]
  private readonly deadlines: Deadlines
  private readonly order: Map<string, number>
  private readonly freeMachines: Machine[] = []

  /** @param options - clock, workers and recorder; `order`: names of classes, highest priority first */
  constructor (options: SchedulerOptions & { order: string[] }) {
    super(options)
    this.order = new Map(options.order.map((name, index) => [name, index]))
    this.deadlines = new Deadlines({ clock: this.clock, onExpired: work => { this.recorder.refuse(work, this.clock.now()) } })
    this.queues = options.order.map(() => [])
    for (const machine of this.pool.machines) {
      for (let slot = 0; slot < machine.slots; slot++) this.freeMachines.push(machine)
    }
  }

  override submit (work: Work): void {
    this.deadlines.add(work)
    this.clock.schedule(MESSAGE_DELAY_MS, () => {
      if (work.state !== 'waiting') return
      this.insert(work)
      this.startNext()
    })
  }

  override withdraw (work: Work): void {
    this.recorder.withdraw(work, this.clock.now())
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
      if (queue[middle]!.runTime > work.runTime) low = middle + 1
      else high = middle
    }
    queue.splice(low, 0, work)
  }

  private takeNext (): Work | null {
    for (const queue of this.queues) {
      for (let work = queue.pop(); work !== undefined; work = queue.pop()) {
        if (work.state === 'waiting') return work
      }
    }
    return null
  }

  private startNext (): void {
    while (this.freeMachines.length > 0) {
      const work = this.takeNext()
      if (work === null) return
      const machine = this.freeMachines.pop()!
      this.pool.run(work, machine, () => {
        this.freeMachines.push(machine)
        this.startNext()
      })
    }
  }
}
