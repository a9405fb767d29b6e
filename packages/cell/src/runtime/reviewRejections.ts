import type { AdviceRound } from './AdviceScheduler.js'
import type { StepState } from './model.js'

/** Maximum time between two reviews of a step's rejected workers: most rejections are final, and each review costs a call. */
const MAX_REVIEW_DELAY_MS = 16_000

/**
 * Forgets the rejections of a step that has no other workers to ask about, so that the next round asks again: the advice service may have given no
 * ticket for a worker that it had not yet registered.
 *
 * @param step - the step
 * @param options - `now`: monotonic ms; `isUrgent`: whether the step can't start on the allowed workers; otherwise the advice service is asked
 * again only by idle nodes
 */
export function reviewRejections (step: StepState, { now, isUrgent, adviceRound }: { now: number, isUrgent: boolean, adviceRound: AdviceRound }): void {
  if (step.adviceCounts.rejected === 0 || step.nextReviewAt > now || !(isUrgent || adviceRound.isMostlyIdle)) return
  step.rejectedWorkers.clear()
  step.reviewDelay = Math.min(2 * step.reviewDelay, MAX_REVIEW_DELAY_MS)
  step.nextReviewAt = now + step.reviewDelay
}
