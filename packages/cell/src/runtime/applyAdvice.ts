import type { Advice } from '../types/ports.js'
import type { StepState, WorkerState } from './model.js'

/** Time after an answer from which workers without a ticket may be asked about again, if the step has no others: covers a worker's return to the service's list. */
const MIN_REVIEW_DELAY_MS = 2000

/** A worker that was named in a call, and its incarnation and period of presence when the call was made. */
export interface AskedWorker {
  worker: WorkerState
  born: number
  presence: number
}

/** @returns a worker as it is when a call that names it is made */
export function asAsked (worker: WorkerState): AskedWorker {
  return { worker, born: worker.report.born, presence: worker.presence }
}

/**
 * Applies an answer of the advice service. A ticket counts for the incarnation that was asked about, and a missing one only for a worker that was
 * present during the whole call.
 *
 * @param step - the step
 * @param asked - the workers named in the call
 * @param advice - the answer
 * @param now - monotonic ms of the answer
 */
export function applyAdvice (step: StepState, asked: AskedWorker[], advice: Omit<Extract<Advice, { kind: 'answered' }>, 'kind'>, now: number): void {
  const texts = new Map(advice.tickets.map(({ worker, text }) => [worker, text]))
  for (const { worker: { report, presence }, ...whenAsked } of asked) {
    const text = texts.get(report.id)
    if (text !== undefined && whenAsked.born === report.born) {
      step.allowedWorkers.set(report.id, report.born)
      step.tickets.set(report.id, { text, validUntil: now + advice.validity, born: report.born })
    } else if (text === undefined && whenAsked.presence === presence) {
      step.allowedWorkers.delete(report.id)
      step.tickets.delete(report.id)
      step.rejectedWorkers.set(report.id, presence)
    }
  }
  step.reviewDelay = Math.max(step.reviewDelay, MIN_REVIEW_DELAY_MS)
  step.nextReviewAt = now + step.reviewDelay
}
