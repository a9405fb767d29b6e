import type { Result } from 'ts-results-es'
import type { JobPhase, Step } from './job.js'

/** Contents of a job submission, as decoded from the request body. */
export interface JobSubmission {
  spec: string
  steps: Step[]
  repeat?: { count: number, first: number, interval: number }
}

/** What a caller presents to authenticate itself; `malformed`: the header is repeated, too long or of another scheme. */
export type Credential = { kind: 'none' } | { kind: 'key', key: string } | { kind: 'malformed' }

/** Decodes callers' requests and encodes the responses. */
export abstract class CallerCodec {
  /** @returns the submitted job, or a message that says what is wrong with the body */
  abstract decodeSubmission (body: string): Result<JobSubmission, string>
  abstract encodePhase (phase: JobPhase): string
  abstract encodeWaitingCount (count: number): string
  /** @returns the caller's timeout in ms, or `undefined` if the headers don't contain one */
  abstract timeout (headers: NodeJS.Dict<string | string[]>): number | undefined
  /** @param headers - all values of each header */
  abstract credential (headers: NodeJS.Dict<string[]>): Credential
  abstract requestId (headers: NodeJS.Dict<string | string[]>): string
}

/** Outcome of a submission or a cancellation, as reported to the caller. */
export type RequestOutcome =
  | { kind: 'accepted', repeated: boolean }
  | { kind: 'cancelled' }
  | { kind: 'unknown-job' }
  /** The request was not carried out and never will be; without `retryAfter` (s) it is of no use to repeat it. */
  | { kind: 'refused', reason: string, retryAfter?: number }
  /** It is not known whether the request was carried out. */
  | { kind: 'unsettled', reason: string }

/** Outcome of a query for a job's phase, as reported to the caller. */
export type PhaseOutcome =
  | { kind: 'phase', phase: JobPhase }
  | { kind: 'unknown-job' }
  | { kind: 'refused', reason: string, /** s */ retryAfter: number }
