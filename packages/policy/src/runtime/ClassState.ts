import type { ResolvedClass } from '@rattanstep/rules'
import { Rate } from '../utils/Rate.js'
import { FlowQueue } from './FlowQueue.js'

/** Milliseconds over which the rate of grants is measured. */
const GRANT_RATE_TIME_CONSTANT_MS = 10_000

/** The book of one class: its rule, its queue and what it uses. */
export class ClassState {
  rule: ResolvedClass
  readonly queue = new FlowQueue()
  /** Slots in use. */
  inUse = 0
  /** Slots in use that count as long work. */
  longSlots = 0
  /** Tasks of jobs that wait for room. */
  waitingTasks = 0
  /** Work done so far, divided by the weight. */
  virtualTime = 0
  /** Grants a millisecond. */
  readonly grants = new Rate(GRANT_RATE_TIME_CONSTANT_MS)
  /** Since when asks wait without a break, in ms; `null` when none does. */
  waitingSince: number | null = null
  /** Whether the rules no longer name the class. */
  obsolete = false

  /** @param rule - the class's rule */
  constructor (rule: ResolvedClass) {
    this.rule = rule
  }

  /**
   * @param now - ms
   * @param limit - highest priority of any class, which ageing does not pass
   * @returns priority with ageing
   */
  agedPriority (now: number, limit: number): number {
    const oldest = this.queue.oldest()
    if (oldest === null || this.rule.ageing === 0) return this.rule.priority
    const waited = now - oldest.queuedAt + oldest.ask.waited
    const raised = this.rule.priority + Math.floor(waited / this.rule.ageing)
    return Math.max(this.rule.priority, Math.min(limit, raised))
  }

  /** @param now - ms */
  updateWaitingSince (now: number): void {
    if (this.queue.size === 0) this.waitingSince = null
    else this.waitingSince ??= now
  }
}

/** Treatment of work whose class no rule names. */
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
