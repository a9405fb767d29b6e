import type { Work } from '../types/work.js'
import { GREEDY_CALLER, isPeak } from './generateWork.js'

/** Time for which an item may be in transit. An item that has waited longer counts as waiting for a slot. */
const MAX_TRANSIT_MS = 10

/** Figures of one class. */
export interface ClassRecord {
  /** Wait in ms of each item that started. */
  waits: number[]
  /** Waits in ms of items that arrived at peak demand. */
  peakWaits: number[]
  /** Waits in ms of items of the caller that sends most. */
  greedyWaits: number[]
  /** Waits in ms of items of all other callers. */
  modestWaits: number[]
  arrived: number
  done: number
  failed: number
  refused: number
  withdrawn: number
  /** Number of items that their callers sent again after a refusal. */
  returnedCount: number
  /** Number of these items that were started. */
  startedAfterReturn: number
  /** Time from arrival to end of completed items, relative to their run time. */
  slowdowns: number[]
  /** Slot time of completed work, in ms. */
  workTime: number
  /** Slot time lost to preemption, in ms. */
  lostTime: number
}

/** Records the state of all work in one run and the use of slots. */
export class Recorder {
  readonly classes = new Map<string, ClassRecord>()
  /** Milliseconds during which some work waited for a slot. */
  waitingTime = 0
  /** Time of busy slots in ms, summed over slots, while work waited. */
  busyWhileWaiting = 0
  /** Time of slots that were busy or held for work, in ms, summed over slots, while work waited. */
  heldWhileWaiting = 0
  /** Slots held for work that has not started yet or has just ended. */
  idleHeldSlots = 0
  /** Number of messages between the processes of the scheduler. */
  messages = 0
  private busySlots = 0
  /** Waiting items with the time at which each began to wait, oldest first. */
  private readonly waitingSince = new Map<Work, number>()
  /** Time in ms up to which the slot times are summed. */
  private integratedUntil = 0
  private readonly slots: number
  private readonly recordUntil: number

  /** @param options - `slots`: total slots; `until`: time in ms after which slot use is not recorded */
  constructor (options: { slots: number, until: number }) {
    this.slots = options.slots
    this.recordUntil = options.until
  }

  /** @returns fraction of the slots that were busy while work waited; 1 when none waited */
  get busyFraction (): number {
    return this.waitingTime === 0 ? 1 : this.busyWhileWaiting / (this.waitingTime * this.slots)
  }

  /** @returns fraction of the slots that were busy or held while work waited; 1 when none waited */
  get heldFraction (): number {
    return this.waitingTime === 0 ? 1 : this.heldWhileWaiting / (this.waitingTime * this.slots)
  }

  /** @returns number of items that wait or run */
  get openCount (): number {
    return this.waitingSince.size + this.busySlots
  }

  /**
   * Changes the number of slots that are held without running work.
   *
   * @param change - slots to add, negative to release
   * @param now - ms
   */
  hold (change: number, now: number): void {
    this.accumulate(now)
    this.idleHeldSlots += change
  }

  /**
   * @param name - name of a class
   * @returns the figures of the class
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
   * @param work - an item that failed and waits again
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
   * @param succeeded - whether the item was completed
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
   * @param lost - ms of run time that were lost
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
   * @param work - an item that was refused and that its caller sends again
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
