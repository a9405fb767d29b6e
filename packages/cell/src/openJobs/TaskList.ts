import { DEFAULT_STORE_LIMITS } from '../types/records.js'
import { taskName } from '../runtime/taskName.js'
import type { Task } from '../runtime/model.js'
import type { StepState } from './StepState.js'
import type { TaskCounter } from './TaskCounter.js'

/** Number of task objects of a job, apart from gangs, at which no further ones are created. It bounds what each commit of the job writes. */
export const MAX_TOUCHED_TASKS = 800
/** Characters of a job's record at which no further task objects of it are created. The other half of a transaction is left for what the present ones add. */
export const MAX_GROWING_RECORD_LENGTH = DEFAULT_STORE_LIMITS.transactionBytes / 2

/** Waiting tasks of a step. */
export interface WaitingTasks {
  /** Those with an object. */
  touched: Task[]
  /** Number of those without; they follow the others and are all alike. */
  untouched: number
}

/**
 * Tasks of a step. The object of a task is created when the task is first placed or restored from a record, and released when the task is done, so that
 * memory grows with the tasks that run and not with the width of steps. Objects are created in order: all tasks from the first one without are untouched.
 */
export class TaskList implements Iterable<Task> {
  /** Objects by index; `undefined` for a task that is done and whose object was released. */
  private readonly objects: Array<Task | undefined> = []

  /**
   * @param step - the step
   * @param length - number of its tasks
   * @param counter - counts the objects
   */
  constructor (private readonly step: StepState, readonly length: number, private readonly counter: TaskCounter) {}

  /** Passes all tasks, with objects for all; for gangs, whose tasks are placed together. */
  * [Symbol.iterator] (): Iterator<Task> {
    for (let index = 0; index < this.length; index++) yield this.at(index)!
  }

  /** @returns the tasks that have an object */
  * touched (): Iterable<Task> {
    for (const task of this.objects) if (task !== undefined) yield task
  }

  /** Passes the tasks that are not untouched, in order; `undefined` for one that is done and released. */
  map<Value> (convert: (task: Task | undefined) => Value): Value[] {
    return Array.from(this.objects, convert)
  }

  /** @returns number of tasks that have never had an object */
  get untouched (): number {
    return this.length - this.objects.length
  }

  /**
   * @param index - number of a task
   * @returns the task, which is created if it has no object, or `undefined` if there is no such task. The object of a task that is done and released is not
   *   kept: changes of it have no effect.
   */
  at (index: number): Task | undefined {
    if (!Number.isInteger(index) || index < 0 || index >= this.length) return undefined
    while (this.objects.length <= index) this.createNext()
    return this.objects[index] ?? { ...this.create(index), phase: 'done', run: 1 }
  }

  /** @returns the first untouched task, now with an object */
  createNext (): Task {
    const task = this.create(this.objects.length)
    this.objects.push(task)
    this.adjustCount(1)
    return task
  }

  /** Releases the object of a task that is done and is not assigned to a worker. */
  release (task: Task): void {
    if (this.objects[task.index] !== task) return
    this.objects[task.index] = undefined
    this.adjustCount(-1)
  }

  /** Marks the next untouched task as done, without an object. */
  skipDone (): void {
    this.objects.push(undefined)
  }

  /** Releases all objects, when the step's occurrence or job is removed. */
  clear (): void {
    for (const task of this.touched()) this.release(task)
  }

  /** @returns whether a task waits */
  get hasWaiting (): boolean {
    if (this.untouched > 0) return true
    return this.objects.some(task => task?.phase === 'waiting')
  }

  /** @returns number of tasks that wait */
  countWaiting (): number {
    let waiting = this.untouched
    for (const task of this.objects) if (task?.phase === 'waiting') waiting++
    return waiting
  }

  /** @returns whether each task runs or is done */
  get areAllStarted (): boolean {
    return this.untouched === 0 && this.objects.every(task => task === undefined || task.phase === 'done' || task.phase === 'running')
  }

  /** @returns whether a task is assigned to a worker */
  get hasRuns (): boolean {
    return this.objects.some(task => task?.worker !== undefined)
  }

  /**
   * @param options - `now`: monotonic ms, to leave out tasks that are not to be placed yet; `excluded`: tasks to leave out; `most`: maximum number of tasks
   * @returns the waiting tasks of which objects exist or may be created
   */
  waiting ({ now = Infinity, excluded = [], most = Infinity }: { now?: number, excluded?: Task[], most?: number } = {}): WaitingTasks {
    const touched: Task[] = []
    for (const task of this.objects) {
      if (touched.length >= most) break
      if (task?.phase === 'waiting' && task.notBefore <= now && !excluded.includes(task)) touched.push(task)
    }
    return { touched, untouched: Math.max(0, Math.min(this.untouched, most - touched.length, this.room)) }
  }

  /** @returns number of objects that may be created for untouched tasks */
  private get room (): number {
    if (this.untouched === 0) return 0
    const { definition, occurrence: { job } } = this.step
    if (job.recordLength > MAX_GROWING_RECORD_LENGTH) return 0
    return Math.min(this.counter.room, definition.gang ? Infinity : MAX_TOUCHED_TASKS - job.touchedTasks)
  }

  private adjustCount (change: 1 | -1): void {
    this.counter.open += change
    this.step.occurrence.job.touchedTasks += change
  }

  private create (index: number): Task {
    const { step } = this
    const { occurrence } = step
    return {
      name: taskName(occurrence.job.job.id, occurrence.index, step.index, index), step, index, phase: 'waiting', run: 0, sentRun: 0, begunRun: 0, incarnation: 0, failures: 0, crashes: [], checkpoint: '', confirmedAt: 0, orderSentAt: 0, isUnanswered: false, stopConfirmedAt: 0, stopOrderedAt: 0, preemptions: 0, projectedEndAt: 0, notBefore: 0, avoidedWorkers: new Set()
    }
  }
}
