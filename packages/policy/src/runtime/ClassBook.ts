import type { ResolvedClass } from '@rattanstep/rules'
import { Rate } from '../utils/Rate.js'
import { FlowQueue } from './FlowQueue.js'

/** Milliseconds over which the rate of grants is measured. */
const DRAIN_MEMORY = 10_000

/** The book of one class: its rule, its queue and what it uses. */
export class ClassBook {
  rule: ResolvedClass
  readonly queue = new FlowQueue()
  /** Slots in use. */
  inUse = 0
  /** Slots in use that count as long work. */
  long = 0
  /** Tasks of jobs that wait for room. */
  waitingTasks = 0
  /** Work done so far, divided by the weight. */
  virtualTime = 0
  /** Grants a millisecond. */
  readonly grants = new Rate(DRAIN_MEMORY)
  /** Since when asks wait without a break, in ms; `null` when none does. */
  waitingSince: number | null = null
  /** Whether the rules no longer name the class. */
  retired = false

  /** @param rule - the class's rule */
  constructor (rule: ResolvedClass) {
    this.rule = rule
  }

  /**
   * @param now - ms
   * @param top - highest priority of any class, which ageing does not pass
   * @returns priority with ageing
   */
  effectivePriority (now: number, top: number): number {
    const oldest = this.queue.oldest()
    if (oldest === null || this.rule.ageing === 0) return this.rule.priority
    const waited = now - oldest.queuedAt + oldest.ask.waited
    const raised = this.rule.priority + Math.floor(waited / this.rule.ageing)
    return Math.max(this.rule.priority, Math.min(top, raised))
  }

  /** @param now - ms */
  noteQueue (now: number): void {
    if (this.queue.size === 0) this.waitingSince = null
    else this.waitingSince ??= now
  }
}

/** Treatment of work whose class no rule names. */
export const UNNAMED_CLASS: ResolvedClass = {
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
