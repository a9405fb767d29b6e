import type { Ending, Outcome } from '@rattanstep/core'
import type { RunFault, RunStep } from '../types/run.js'

/** One failed attempt. */
export interface AttemptFailure {
  step: Exclude<RunStep, 'ended'>
  fault: RunFault
  /** Whether the request may run more than once and its body can be sent again. */
  repeatable: boolean
  /** Whether an earlier attempt of the same request may have reached an endpoint. */
  sentBefore: boolean
}

/**
 * What the front does after a failed attempt.
 * - `retry`: it may try another worker; if it does not, it answers with the outcome and status
 * - `answer`: it answers with the outcome and status
 * - `cut`: part of the answer has been sent, so it resets the caller's connection
 * - `drop`: the caller has left, so it answers nothing
 */
export type FailureAction = 'retry' | 'answer' | 'cut' | 'drop'

/** Consequences of a failed attempt. */
export interface FailureDecision {
  outcome: Outcome
  status: number
  action: FailureAction
  /** The ending that the permit's owner is told. */
  ending: Ending
}

const UNSENT_DECISIONS: Record<RunFault, { status: number, action: FailureAction, ending: Ending }> = {
  refused: { status: 503, action: 'retry', ending: 'failed' },
  'no-connection': { status: 503, action: 'retry', ending: 'unsent' },
  'stale-permit': { status: 503, action: 'retry', ending: 'unsent' },
  unsendable: { status: 400, action: 'answer', ending: 'unsent' },
  reset: { status: 503, action: 'retry', ending: 'failed' },
  garbage: { status: 503, action: 'retry', ending: 'failed' },
  silent: { status: 503, action: 'retry', ending: 'failed' },
  bound: { status: 503, action: 'answer', ending: 'unsent' },
  deadline: { status: 503, action: 'answer', ending: 'unsent' },
  body: { status: 400, action: 'answer', ending: 'unsent' },
  'caller-gone': { status: 503, action: 'drop', ending: 'unsent' },
  'caller-slow': { status: 408, action: 'answer', ending: 'unsent' }
}

/** The ending that the permit's owner is told once bytes may have been sent to the worker. */
const SENT_ENDINGS: Record<RunFault, Ending> = {
  refused: 'abandoned',
  'no-connection': 'abandoned',
  'stale-permit': 'abandoned',
  unsendable: 'cancelled',
  reset: 'abandoned',
  garbage: 'abandoned',
  silent: 'abandoned',
  bound: 'abandoned',
  deadline: 'cancelled',
  body: 'cancelled',
  'caller-gone': 'cancelled',
  'caller-slow': 'cancelled'
}

const BAD_GATEWAY = 502
const GATEWAY_TIMEOUT = 504

/** Faults after which another attempt cannot succeed for this caller. */
const FINAL_FAULTS: ReadonlySet<RunFault> = new Set(['bound', 'deadline', 'body', 'unsendable', 'caller-slow'])

/**
 * Decides what a failed attempt means for the caller. No other code makes this decision.
 *
 * @param failure - how far the attempt came and why it failed
 * @returns the outcome, the status of the answer, what the front does next, and the ending for the permit's owner
 */
export function decideOutcome (failure: AttemptFailure): FailureDecision {
  if (failure.step === 'dispatching') return decideUnsent(failure)
  const ending = SENT_ENDINGS[failure.fault]
  if (failure.step === 'answering') return { outcome: 'run', status: BAD_GATEWAY, action: 'cut', ending }
  if (failure.fault === 'caller-gone') return { outcome: 'unknown', status: BAD_GATEWAY, action: 'drop', ending }
  const retry = failure.repeatable && !FINAL_FAULTS.has(failure.fault)
  return {
    outcome: 'unknown',
    status: isTimeout(failure.fault) ? GATEWAY_TIMEOUT : BAD_GATEWAY,
    action: retry ? 'retry' : 'answer',
    ending
  }
}

/**
 * Decides the outcome of a request that was refused a permit.
 *
 * @param sentBefore - whether an earlier attempt may have reached an endpoint
 * @returns the outcome
 */
export function refusalOutcome (sentBefore: boolean): Outcome {
  return sentBefore ? 'unknown' : 'not-run'
}

function decideUnsent ({ fault, sentBefore }: AttemptFailure): FailureDecision {
  const { status, action, ending } = UNSENT_DECISIONS[fault]
  if (sentBefore) return { outcome: 'unknown', status: isTimeout(fault) ? GATEWAY_TIMEOUT : BAD_GATEWAY, action, ending }
  return { outcome: 'not-run', status, action, ending }
}

function isTimeout (fault: RunFault): boolean {
  return fault === 'silent' || fault === 'bound' || fault === 'deadline'
}
