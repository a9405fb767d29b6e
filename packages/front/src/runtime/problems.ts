import type { Outcome, Refusal, RefusalReason } from '@rattanstep/core'
import type { Problem } from '../types/Problem.js'
import type { RunEnd, RunFault } from '../types/run.js'
import type { ClaimResult } from './KeyRegistry.js'
import type { FailureDecision } from './decideOutcome.js'

/**
 * Texts of the problem documents (RFC 9457) that callers get, each with what happened and what to do.
 */

/** Shortest `Retry-After` of an answer, in ms. */
const MIN_RETRY_AFTER_MS = 1000

const REFUSAL_DETAILS: Record<RefusalReason, string> = {
  patience: 'the wait for room would be longer than the class allows; send the request again later',
  'queue-full': 'too many requests wait already; send the request again later',
  'caller-limit': 'this caller has too many requests in flight; wait for answers before sending more',
  'no-worker': 'no worker is available for the request; send it again later',
  'never-fits': 'no worker is large enough for what the rule declares; mend the rule or add larger workers',
  'not-owner': 'no node may give room at the moment; send the request again later',
  draining: 'the node is stopping; send the request again',
  cancelled: 'the request was withdrawn',
  'no-owner': 'no node that could give room is known; send the request again later',
  quota: "the team's quota is used up; send the request again later"
}

const UNKNOWN_AFTER_RETRY = 'It is not known whether the request was run: a first attempt got no answer and there was no room for a second; send it again if that does no harm.'

/** Refusals because of a limit of the caller or its team; answered with 429 instead of 503. */
const CALLER_LIMIT_REASONS: ReadonlySet<RefusalReason> = new Set(['caller-limit', 'quota'])

/**
 * @param refusal - why no permit was given
 * @param outcome - outcome of the request
 * @returns the problem for the caller
 */
export function refusalProblem (refusal: Refusal, outcome: Outcome): Problem {
  const retryAfter = Math.max(MIN_RETRY_AFTER_MS, refusal.retryAfter)
  if (outcome === 'unknown') return { status: 502, outcome, code: refusal.reason, detail: UNKNOWN_AFTER_RETRY, retryAfter }
  return {
    status: CALLER_LIMIT_REASONS.has(refusal.reason) ? 429 : 503,
    outcome,
    code: refusal.reason,
    detail: `The request was not run: ${REFUSAL_DETAILS[refusal.reason]}.`,
    retryAfter
  }
}

const FAULT_DETAILS: Record<RunFault, string> = {
  refused: 'the worker took no connection',
  'no-connection': 'no connection to the worker became free',
  'stale-permit': 'the room given for it had lapsed',
  unsendable: 'its header cannot be passed on',
  reset: 'the connection to the worker ended before the answer',
  garbage: "the worker's answer is not valid HTTP",
  silent: 'the worker gave no byte for too long',
  bound: 'it ran longer than its class allows',
  deadline: 'the time that the caller gave it passed',
  body: 'its body broke off, was too large or came too slowly',
  'caller-gone': 'the caller closed its connection',
  'caller-slow': 'the caller stopped reading'
}

/**
 * @param decision - consequences of the last, failed attempt
 * @param end - how the attempt failed
 * @param bodyFault - what was wrong with the caller's body, or `null`
 * @returns the problem for the caller
 */
export function runProblem (decision: FailureDecision, end: RunEnd, bodyFault: string | null): Problem {
  const fault = end.fault ?? 'reset'
  const cause = FAULT_DETAILS[fault] + (bodyFault === null ? '' : ` (${bodyFault})`)
  const detail = decision.outcome === 'not-run'
    ? `The request was not run: ${cause}; send it again.`
    : `It is not known whether the request was run: ${cause}; before sending it again find out whether it took effect, or repeat it with the same Idempotency-Key.`
  return { status: decision.status, outcome: decision.outcome, code: fault, detail, retryAfter: MIN_RETRY_AFTER_MS }
}

/** @returns the problem for a caller whose time of first sending lies in the future */
export function firstSentInFutureProblem (): Problem {
  return problem(400, 'not-run', 'first-sent-ahead', 'The request was not run: the time of its first sending lies in the future; set the clock of the caller.', 0)
}

/**
 * @param result - the answer of the key's home, or `null` when there was none
 * @returns the problem for the caller when the request may not run and no stored answer can be sent
 */
export function keyProblem (result: ClaimResult | null): Problem {
  if (result === null || result.verdict === 'not-home' || result.verdict === 'first') {
    return problem(503, 'not-run', 'key-silent', 'The request was not run: nobody could say whether its Idempotency-Key was used before; send it again with the same key.', MIN_RETRY_AFTER_MS)
  }
  if (result.verdict === 'full') {
    return problem(503, 'not-run', 'keys-full', 'The request was not run: no further Idempotency-Key can be remembered now; send it again later with the same key.', MIN_RETRY_AFTER_MS)
  }
  if (result.verdict === 'clash') {
    return problem(422, 'not-run', 'key-clash', 'The request was not run: its Idempotency-Key belongs to another request; use a new key for each request.', 0)
  }
  if (result.verdict === 'running') {
    return problem(409, 'unknown', 'key-running', 'A request with this Idempotency-Key is still running; ask again with the same key.', MIN_RETRY_AFTER_MS)
  }
  if (result.verdict === 'forgotten') {
    return problem(502, 'unknown', 'key-forgotten', 'It is not known whether a request with this Idempotency-Key was run before, and it was not run now; find out whether it took effect before sending it with a new key.', 0)
  }
  if (result.outcome === 'run') {
    return problem(409, 'run', 'key-settled', 'The request with this Idempotency-Key was run; its answer is not kept for this caller: it was too large, was cut short, or went to other credentials. Do not send it again with a new key.', 0)
  }
  return problem(502, 'unknown', 'key-unknown', 'It is not known whether the request with this Idempotency-Key was run; it was not run again. Find out whether it took effect.', 0)
}

function problem (status: number, outcome: Problem['outcome'], code: string, detail: string, retryAfter: number): Problem {
  return { status, outcome, code, detail, retryAfter }
}
