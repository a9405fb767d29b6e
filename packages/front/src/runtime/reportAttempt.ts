import type { Outcome } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'
import { FRONT_EVENTS } from '../types/events.js'
import type { RunEnd } from '../types/run.js'
import type { Placement } from './PermitSource.js'

/** One attempt to run a request, with what is logged and measured of it. */
export interface AttemptReport {
  request: string
  /** Number of the attempt, starting at 1. */
  attempt: number
  class: string
  placement: Placement
  end: RunEnd
  /** Milliseconds from arrival to the permit. */
  wait: number
  outcome: Outcome
}

/**
 * Logs one attempt and records its metrics.
 *
 * @param to - log and metrics to write to
 * @param report - the attempt and how it ended
 */
export function reportAttempt (to: { log: Log, metrics: Metrics }, report: AttemptReport): void {
  const { placement, end, wait, outcome } = report
  const labels = { class: report.class }
  to.log.write(FRONT_EVENTS.routed, {
    request: report.request,
    attempt: report.attempt,
    class: report.class,
    owner: placement.owner,
    worker: placement.worker,
    wait,
    reason: report.attempt === 1 ? placement.reason : `${placement.reason}, retry`,
    candidates: placement.candidates,
    outcome,
    fault: end.fault ?? '',
    detail: end.detail,
    service: end.serviceTime
  })
  to.metrics.counter('front_attempts', { ...labels, outcome }).add()
  to.metrics.timer('front_wait', labels).record(wait)
  to.metrics.timer('front_service', labels).record(end.serviceTime)
}
