import type { FakeClock } from '@rattanstep/core'
import type { Work } from '../types/work.js'

/** Interval at which deadlines are checked. */
const CHECK_INTERVAL_MS = 10

/** Reports work that still waits after its patience has elapsed. Assumes that the deadlines of a class are in order of arrival. */
export class Deadlines {
  private readonly queues = new Map<string, { works: Work[], first: number }>()

  /** @param options - `clock`: simulated time; `onExpired`: called with work that still waits at its deadline */
  constructor (options: { clock: FakeClock, onExpired: (work: Work) => void }) {
    const { clock, onExpired } = options
    clock.repeat(CHECK_INTERVAL_MS, () => { this.expireWork(clock.now(), onExpired) })
  }

  /** @param work - work that begins to wait now */
  add (work: Work): void {
    const queue = this.queues.get(work.class) ?? { works: [], first: 0 }
    queue.works.push(work)
    this.queues.set(work.class, queue)
  }

  private expireWork (now: number, onExpired: (work: Work) => void): void {
    for (const queue of this.queues.values()) {
      for (; queue.first < queue.works.length; queue.first++) {
        const work = queue.works[queue.first]!
        if (work.state === 'waiting' && work.arrival + work.patience > now) break
        if (work.state === 'waiting') onExpired(work)
      }
    }
  }
}
