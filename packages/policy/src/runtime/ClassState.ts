import type { ResolvedClass } from '@rattanstep/rules'
import { Rate } from '../utils/Rate.js'
import { FlowQueue } from './FlowQueue.js'

/** Time constant over which the rate of grants is averaged. */
const GRANT_RATE_TIME_CONSTANT_MS = 10_000

/** State of one class: its rule, its queue and what it uses. */
export class ClassState {
  rule: ResolvedClass
  readonly queue = new FlowQueue()
  /** Slots in use. */
  inUse = 0
  /** Slots in use by long work. */
  longSlots = 0
  /** Number of job tasks that wait for capacity. */
  waitingTasks = 0
  /** Virtual time of weighted fair queueing: granted slot-milliseconds divided by the class's weight. */
  virtualTime = 0
  /** Rate of grants. */
  readonly grants = new Rate(GRANT_RATE_TIME_CONSTANT_MS)
  /** Monotonic time in ms since which the queue has not been empty; `null` while it is empty. */
  waitingSince: number | null = null
  /** Whether the rules in force no longer name the class. */
  obsolete = false

  /** @param rule - the class's rule */
  constructor (rule: ResolvedClass) {
    this.rule = rule
  }

  /**
   * Raises the priority of the class by the waiting time of its oldest ask.
   *
   * @param now - monotonic time in ms
   * @param limit - highest priority of any class, which ageing does not exceed
   * @returns priority with ageing
   */
  agedPriority (now: number, limit: number): number {
    const oldest = this.queue.oldest()
    if (oldest === null || this.rule.ageing === 0) return this.rule.priority
    const waited = now - oldest.queuedAt + oldest.ask.waited
    const raised = this.rule.priority + Math.floor(waited / this.rule.ageing)
    return Math.max(this.rule.priority, Math.min(limit, raised))
  }

  /**
   * Updates `waitingSince` after a change of the queue.
   *
   * @param now - monotonic time in ms
   */
  updateWaitingSince (now: number): void {
    if (this.queue.size === 0) this.waitingSince = null
    else this.waitingSince ??= now
  }
}

/** Rule that applies to work whose class the rules do not name. */
export const UNLISTED_CLASS_RULE: ResolvedClass = {
  name: '',
  kind: 'request',
  priority: 0,
  reserve: 0,
  most: 1,
  patience: 1000,
  bound: 60_000,
  weight: 1,
  ageing: 0,
  expected: 100,
  retries: 0,
  preempts: 'nothing',
  askedBy: '',
  line: 0
}
