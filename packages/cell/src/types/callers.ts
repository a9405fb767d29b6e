import type { Result } from 'ts-results-es'
import type { JobPhase, Step } from './job.js'

/** What a hand-in's body says. */
export interface JobSubmission {
  spec: string
  steps: Step[]
  repeat?: { count: number, first: number, interval: number }
}

/** Form of callers' messages. */
export abstract class CallerCodec {
  /** @returns the job, or what is wrong with it */
  abstract readSubmission (body: string): Result<JobSubmission, string>
  abstract writePhase (phase: JobPhase): string
  abstract writeWaiting (count: number): string
  /** @returns ms that the caller waits, if it says so */
  abstract timeout (headers: NodeJS.Dict<string | string[]>): number | undefined
  abstract requestId (headers: NodeJS.Dict<string | string[]>): string
}

/** What a caller is told of a hand-in or a cancellation. */
export type RequestOutcome =
  | { kind: 'accepted', repeated: boolean }
  | { kind: 'cancelled' }
  | { kind: 'unknown-job' }
  /** Not done and never will be. */
  | { kind: 'refused', reason: string, /** s */ retryAfter: number }
  /** It is not known whether it was done. */
  | { kind: 'unsettled', reason: string }

/** What a caller is told of a job. */
export type PhaseOutcome =
  | { kind: 'phase', phase: JobPhase }
  | { kind: 'unknown-job' }
  | { kind: 'refused', reason: string, /** s */ retryAfter: number }
