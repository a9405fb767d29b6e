import type { Clock } from '@rattanstep/core'
import type { Task, WorkerState } from '../runtime/model.js'
import { AnswerWindow } from './AnswerWindow.js'

/** Sizes of the window of all starts. */
const INITIAL_STARTS = 128
const MIN_STARTS = 16
/** Sizes of the window of a worker's starts. */
const INITIAL_WORKER_STARTS = 16
const MIN_WORKER_STARTS = 2

/** Number of tasks that may be placed, as a multiple of the orders that may be in flight: while these are answered, the next placements are written. */
const PLACED_RATIO = 2

/** Share of unanswered orders above which the way to all workers counts as congested, and weight of an order in it. Single workers fail without that. */
const MAX_UNANSWERED_SHARE = 0.5
const OUTCOME_WEIGHT = 0.1

/** Starts that a round of planning may still place. */
export interface StartBudget {
  /** Number of further starts in all. */
  left: number
  /** Returns the number of further starts on a worker at the beginning of the round. */
  leftOf: (worker: WorkerState) => number
}

/**
 * Flow control of starts: no more tasks are placed than the workers, and what lies between, answer. A placement is written before its order is sent, so
 * that the limit also bounds what a successor finds on record and has never begun.
 */
export class StartFlow {
  private readonly all: AnswerWindow
  /** Moving average of the share of orders that got no answer. */
  private unansweredShare = 0
  private readonly byWorker = new WeakMap<WorkerState, AnswerWindow>()

  /** @param options - `most`: number of starts that may be in flight whatever their answers take */
  constructor (private readonly options: { clock: Clock, most: number }) {
    const { clock, most } = options
    this.all = new AnswerWindow({ clock, initial: Math.min(INITIAL_STARTS, most), least: Math.min(MIN_STARTS, most), most })
  }

  /** @returns number of starts that may be in flight */
  get size (): number {
    return this.all.size
  }

  /** @returns the starts that a round may place; `workers`: all workers */
  startRound (workers: Iterable<WorkerState>): StartBudget {
    const pending = new Map<WorkerState, number>()
    let total = 0
    for (const worker of workers) {
      // Nothing more is sent to a worker that doesn't answer, so that its orders delay no others.
      if (!worker.isReachable) continue
      let count = 0
      for (const task of worker.tasks.values()) if (isPending(task)) count++
      if (count === 0) continue
      pending.set(worker, count)
      total += count
    }
    return { left: PLACED_RATIO * this.all.size - total, leftOf: worker => PLACED_RATIO * this.windowOf(worker).size - (pending.get(worker) ?? 0) }
  }

  /** Notes that a round could not place all that the workers have room for. */
  noteLimit (worker?: WorkerState): void {
    if (worker === undefined) this.all.noteLimit()
    else this.windowOf(worker).noteLimit()
  }

  /**
   * Handles the outcome of an order to start.
   *
   * @param worker - the worker
   * @param sentAt - monotonic ms
   * @param isAnswered - whether the worker has answered in time
   */
  noteOutcome (worker: WorkerState, sentAt: number, isAnswered: boolean): void {
    const ofWorker = this.windowOf(worker)
    this.unansweredShare += OUTCOME_WEIGHT * ((isAnswered ? 0 : 1) - this.unansweredShare)
    if (isAnswered) {
      ofWorker.noteAnswer(sentAt)
      this.all.noteAnswer(sentAt)
    } else {
      ofWorker.noteSilence(sentAt)
      if (this.unansweredShare > MAX_UNANSWERED_SHARE) this.all.noteSilence(sentAt)
    }
  }

  private windowOf (worker: WorkerState): AnswerWindow {
    let window = this.byWorker.get(worker)
    if (window === undefined) this.byWorker.set(worker, window = new AnswerWindow({ clock: this.options.clock, initial: INITIAL_WORKER_STARTS, least: MIN_WORKER_STARTS, most: this.options.most }))
    return window
  }
}

/** @returns whether the order to start a task is yet to be answered */
function isPending ({ phase, isUnanswered }: Task): boolean {
  return phase === 'placed' || (phase === 'ordered' && !isUnanswered)
}
