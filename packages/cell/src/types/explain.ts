import type { Size, Step } from './job.js'
import type { WaitFacts } from '../runtime/explainWait.js'

/** Which job to explain: one that the decider knows, or one that nobody has submitted. */
export type ExplainQuery =
  | { job: string }
  | { route: string, organisation?: string, steps: Step[] }

/**
 * Why a task can't start on a worker now:
 *
 * - `unusable`: the worker is not listed as ready, doesn't answer, is suspended or has runs that are not on record
 * - `isolated`: it is kept free for a task under which a worker has crashed
 * - `label`: it lacks the label that the step needs
 * - `rejected`: the advice service does not allow the step there
 * - `too-small`: a task does not fit even while the worker is empty
 * - `full`: a task does not fit now
 * - `held`: it is held for a gang
 */
export type UnfitReason = 'unusable' | 'isolated' | 'label' | 'rejected' | 'too-small' | 'full' | 'held'

/** Where a ready step of a job would go now. */
export interface StepExplanation {
  step: string
  /** Place of the step among all ready steps, from 1, and waiting tasks of the steps before it. */
  rank: number
  tasksBefore: number
  lateness: 'in-time' | 'late' | 'useless'
  /** ms until the job should have ended; negative if that time has passed. */
  timeLeft: number
  /** Why the step waits, and what is known about its workers. */
  wait: WaitFacts
  /** Number of workers on which a task fits now, and some of them. */
  fitting: number
  examples: Array<{ worker: string, tasks: number, speed: number }>
  /** Number of the other workers of the service by reason, and some of them. */
  unfit: Partial<Record<UnfitReason, { workers: number, examples: string[] }>>
  /** Cap of the organisation, what it has running, and number of the step's tasks that the cap leaves room for; `null` without a limit. */
  cap?: { organisation: string, cap: Size, used: Size, startable: number | null }
  /**
   * ms until a task, or all tasks of a gang, fit on workers that are held for no gang, including a call for advice, if no step of a higher rank takes the
   * room; `null` if they don't fit even after the end of all present runs or under the cap as it is used now.
   */
  projectedStart: number | null
}

/** Where a job would go now, and why. */
export interface Explanation {
  /** Phase of a known job; `unknown` if the decider knows no such job; `hypothetical` for one that was not submitted. */
  phase: string
  /** Why the job would be refused, or why none of the steps of a known one can be ranked. */
  refusal?: string
  /** The ready steps, the first in rank order first, and the number of those left out. */
  steps: StepExplanation[]
  omitted: number
  /** Number of steps that wait for others of the job. */
  pending: number
}
