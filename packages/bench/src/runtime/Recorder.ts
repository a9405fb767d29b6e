import type { Work } from '../types/work.js'
import { GREEDY_CALLER, isCrest } from './generateWork.js'

/** Milliseconds for which an item may be under way; only then it counts as work that waits for a slot. */
const UNDER_WAY = 10

/** What is kept of one class. */
export interface ClassRecord {
  /** Milliseconds waited by each item that started. */
  waits: number[]
  /** The same for items that arrived at the crest. */
  crestWaits: number[]
  /** Milliseconds waited by items of the caller that sends most, and by those of all others. */
  greedyWaits: number[]
  modestWaits: number[]
  arrived: number
  done: number
  failed: number
  refused: number
  withdrawn: number
  /** Items whose caller came back after a refusal, and those of them that were started. */
  returned: number
  startedAfterReturn: number
  /** Time from arrival to the end of items done, relative to their run time. */
  slowdowns: number[]
  /** Slot time of items done, in ms. */
  work: number
  /** Slot time lost to preemption, in ms. */
  lost: number
}

/** Records what becomes of work in one run. */
export class Recorder {
  readonly classes = new Map<string, ClassRecord>()
  /** Milliseconds during which some work waited for a slot, and the busy slots' time meanwhile. */
  waitingTime = 0
  busyWhileWaiting = 0
  /** The same for slots that a scheduler holds for work, whether or not it runs yet. */
  heldWhileWaiting = 0
  /** Slots held for work that does not run yet or has just ended. */
  idleHeld = 0
  /** Messages between the scheduler's own processes. */
  messages = 0
  private busy = 0
  /** Waiting items with the time since when they wait, the longest first. */
  private readonly waiting = new Map<Work, number>()
  private at = 0
  private readonly slots: number
  private readonly until: number

  /** @param options - `slots` of the cell; `until`: ms after which use is no longer recorded */
  constructor (options: { slots: number, until: number }) {
    this.slots = options.slots
    this.until = options.until
  }

  /** @returns part of the slots that were busy while work waited */
  get busyPart (): number {
    return this.waitingTime === 0 ? 1 : this.busyWhileWaiting / (this.waitingTime * this.slots)
  }

  /** @returns part of the slots that were busy or held while work waited */
  get heldPart (): number {
    return this.waitingTime === 0 ? 1 : this.heldWhileWaiting / (this.waitingTime * this.slots)
  }

  /** @returns items that wait or run */
  get open (): number {
    return this.waiting.size + this.busy
  }

  /**
   * @param change - slots held more or less from now on without running work
   * @param now - ms
   */
  hold (change: number, now: number): void {
    this.integrate(now)
    this.idleHeld += change
  }

  /**
   * @param name - a class
   * @returns its record
   */
  of (name: string): ClassRecord {
    const known = this.classes.get(name)
    if (known !== undefined) return known
    const record = { waits: [], crestWaits: [], greedyWaits: [], modestWaits: [], arrived: 0, done: 0, failed: 0, refused: 0, withdrawn: 0, returned: 0, startedAfterReturn: 0, slowdowns: [], work: 0, lost: 0 }
    this.classes.set(name, record)
    return record
  }

  /**
   * @param work - an item that arrives
   * @param now - ms
   */
  arrive (work: Work, now: number): void {
    this.integrate(now)
    work.state = 'waiting'
    this.waiting.set(work, now)
    this.of(work.class).arrived++
  }

  /**
   * @param work - an item that starts on a worker
   * @param now - ms
   */
  start (work: Work, now: number): void {
    this.integrate(now)
    this.waiting.delete(work)
    this.busy++
    work.state = 'running'
    work.started = now
    if (work.attempts++ > 0) return
    const record = this.of(work.class)
    if (work.returned) record.startedAfterReturn++
    record.waits.push(now - work.arrival)
    const list = work.caller === GREEDY_CALLER ? record.greedyWaits : record.modestWaits
    list.push(now - work.arrival)
    if (isCrest(work.arrival)) record.crestWaits.push(now - work.arrival)
  }

  /**
   * @param work - an item that was run and failed, and that waits again
   * @param now - ms
   */
  retry (work: Work, now: number): void {
    this.integrate(now)
    work.state = 'waiting'
    this.waiting.set(work, now)
    this.of(work.class).failed--
  }

  /**
   * @param work - an item that ended
   * @param now - ms
   * @param succeeded - whether it was done
   */
  end (work: Work, now: number, succeeded: boolean): void {
    this.integrate(now)
    this.busy--
    work.state = succeeded ? 'done' : 'failed'
    const record = this.of(work.class)
    if (!succeeded) {
      record.failed++
      return
    }
    record.done++
    record.slowdowns.push((now - work.arrival) / work.size)
    this.countWork(work, now)
  }

  /**
   * @param work - an item that was stopped and waits again
   * @param now - ms
   * @param lost - ms of its run that are lost
   */
  preempt (work: Work, now: number, lost: number): void {
    this.integrate(now)
    this.countWork(work, now - lost)
    this.of(work.class).lost += lost
    this.busy--
    this.waiting.set(work, now)
    work.state = 'waiting'
  }

  /**
   * @param work - an item that was refused
   * @param now - ms
   */
  refuse (work: Work, now: number): void {
    this.integrate(now)
    this.waiting.delete(work)
    work.state = 'refused'
    this.of(work.class).refused++
  }

  /**
   * @param work - an item that was refused and whose caller comes back
   * @param now - ms
   */
  return (work: Work, now: number): void {
    this.integrate(now)
    work.state = 'waiting'
    work.returned = true
    work.arrival = now
    this.waiting.set(work, now)
    this.of(work.class).returned++
  }

  /**
   * @param work - an item that its caller withdrew
   * @param now - ms
   */
  withdraw (work: Work, now: number): void {
    this.integrate(now)
    if (work.state === 'running') this.busy--
    else this.waiting.delete(work)
    work.state = 'withdrawn'
    this.of(work.class).withdrawn++
  }

  private countWork (work: Work, end: number): void {
    this.of(work.class).work += Math.max(0, Math.min(end, this.until) - Math.min(work.started, this.until))
  }

  private integrate (now: number): void {
    const end = Math.min(now, this.until)
    const [since] = this.waiting.values()
    const start = since === undefined ? end : Math.max(this.at, since + UNDER_WAY)
    if (end > start) {
      this.waitingTime += end - start
      this.busyWhileWaiting += this.busy * (end - start)
      this.heldWhileWaiting += (this.busy + this.idleHeld) * (end - start)
    }
    this.at = Math.max(this.at, end)
  }
}
