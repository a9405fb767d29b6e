import type { Work } from '../types/work.js'
import { GREEDY_CALLER, isPeak } from './generateWork.js'

/** Milliseconds for which an item may be under way; only then it counts as work that waits for a slot. */
const MAX_TRANSIT_MS = 10

/** What is kept of one class. */
export interface ClassRecord {
  /** Milliseconds waited by each item that started. */
  waits: number[]
  /** The same for items that arrived at the crest. */
  peakWaits: number[]
  /** Milliseconds waited by items of the caller that sends most, and by those of all others. */
  greedyWaits: number[]
  modestWaits: number[]
  arrived: number
  done: number
  failed: number
  refused: number
  withdrawn: number
  /** Items whose caller came back after a refusal, and those of them that were started. */
  returnedCount: number
  startedAfterReturn: number
  /** Time from arrival to the end of items done, relative to their run time. */
  slowdowns: number[]
  /** Slot time of items done, in ms. */
  workTime: number
  /** Slot time lost to preemption, in ms. */
  lostTime: number
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
  idleHeldSlots = 0
  /** Messages between the scheduler's own processes. */
  messages = 0
  private busySlots = 0
  /** Waiting items with the time since when they wait, the longest first. */
  private readonly waitingSince = new Map<Work, number>()
  private integratedUntil = 0
  private readonly slots: number
  private readonly recordUntil: number

  /** @param options - `slots` of the cell; `until`: ms after which use is no longer recorded */
  constructor (options: { slots: number, until: number }) {
    this.slots = options.slots
    this.recordUntil = options.until
  }

  /** @returns part of the slots that were busy while work waited */
  get busyFraction (): number {
    return this.waitingTime === 0 ? 1 : this.busyWhileWaiting / (this.waitingTime * this.slots)
  }

  /** @returns part of the slots that were busy or held while work waited */
  get heldFraction (): number {
    return this.waitingTime === 0 ? 1 : this.heldWhileWaiting / (this.waitingTime * this.slots)
  }

  /** @returns items that wait or run */
  get openCount (): number {
    return this.waitingSince.size + this.busySlots
  }

  /**
   * @param change - slots held more or less from now on without running work
   * @param now - ms
   */
  hold (change: number, now: number): void {
    this.accumulate(now)
    this.idleHeldSlots += change
  }

  /**
   * @param name - a class
   * @returns its record
   */
  recordOf (name: string): ClassRecord {
    const existing = this.classes.get(name)
    if (existing !== undefined) return existing
    const record = { waits: [], peakWaits: [], greedyWaits: [], modestWaits: [], arrived: 0, done: 0, failed: 0, refused: 0, withdrawn: 0, returnedCount: 0, startedAfterReturn: 0, slowdowns: [], workTime: 0, lostTime: 0 }
    this.classes.set(name, record)
    return record
  }

  /**
   * @param work - an item that arrives
   * @param now - ms
   */
  arrive (work: Work, now: number): void {
    this.accumulate(now)
    work.state = 'waiting'
    this.waitingSince.set(work, now)
    this.recordOf(work.class).arrived++
  }

  /**
   * @param work - an item that starts on a worker
   * @param now - ms
   */
  start (work: Work, now: number): void {
    this.accumulate(now)
    this.waitingSince.delete(work)
    this.busySlots++
    work.state = 'running'
    work.startedAt = now
    if (work.attempts++ > 0) return
    const record = this.recordOf(work.class)
    if (work.hasReturned) record.startedAfterReturn++
    record.waits.push(now - work.arrival)
    const list = work.caller === GREEDY_CALLER ? record.greedyWaits : record.modestWaits
    list.push(now - work.arrival)
    if (isPeak(work.arrival)) record.peakWaits.push(now - work.arrival)
  }

  /**
   * @param work - an item that was run and failed, and that waits again
   * @param now - ms
   */
  retry (work: Work, now: number): void {
    this.accumulate(now)
    work.state = 'waiting'
    this.waitingSince.set(work, now)
    this.recordOf(work.class).failed--
  }

  /**
   * @param work - an item that ended
   * @param now - ms
   * @param succeeded - whether it was done
   */
  end (work: Work, now: number, succeeded: boolean): void {
    this.accumulate(now)
    this.busySlots--
    work.state = succeeded ? 'done' : 'failed'
    const record = this.recordOf(work.class)
    if (!succeeded) {
      record.failed++
      return
    }
    record.done++
    record.slowdowns.push((now - work.arrival) / work.runTime)
    this.addWorkTime(work, now)
  }

  /**
   * @param work - an item that was stopped and waits again
   * @param now - ms
   * @param lost - ms of its run that are lost
   */
  preempt (work: Work, now: number, lost: number): void {
    this.accumulate(now)
    this.addWorkTime(work, now - lost)
    this.recordOf(work.class).lostTime += lost
    this.busySlots--
    this.waitingSince.set(work, now)
    work.state = 'waiting'
  }

  /**
   * @param work - an item that was refused
   * @param now - ms
   */
  refuse (work: Work, now: number): void {
    this.accumulate(now)
    this.waitingSince.delete(work)
    work.state = 'refused'
    this.recordOf(work.class).refused++
  }

  /**
   * @param work - an item that was refused and whose caller comes back
   * @param now - ms
   */
  recordReturn (work: Work, now: number): void {
    this.accumulate(now)
    work.state = 'waiting'
    work.hasReturned = true
    work.arrival = now
    this.waitingSince.set(work, now)
    this.recordOf(work.class).returnedCount++
  }

  /**
   * @param work - an item that its caller withdrew
   * @param now - ms
   */
  withdraw (work: Work, now: number): void {
    this.accumulate(now)
    if (work.state === 'running') this.busySlots--
    else this.waitingSince.delete(work)
    work.state = 'withdrawn'
    this.recordOf(work.class).withdrawn++
  }

  private addWorkTime (work: Work, end: number): void {
    this.recordOf(work.class).workTime += Math.max(0, Math.min(end, this.recordUntil) - Math.min(work.startedAt, this.recordUntil))
  }

  private accumulate (now: number): void {
    const end = Math.min(now, this.recordUntil)
    const [since] = this.waitingSince.values()
    const start = since === undefined ? end : Math.max(this.integratedUntil, since + MAX_TRANSIT_MS)
    if (end > start) {
      this.waitingTime += end - start
      this.busyWhileWaiting += this.busySlots * (end - start)
      this.heldWhileWaiting += (this.busySlots + this.idleHeldSlots) * (end - start)
    }
    this.integratedUntil = Math.max(this.integratedUntil, end)
  }
}
