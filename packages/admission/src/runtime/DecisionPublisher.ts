import type { Assignment } from '@rattanstep/core'
import type { GrantDecision, RefuseDecision } from '@rattanstep/policy'
import type { Log, Metrics } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { Outbox } from './Outbox.js'

/** Options of a `DecisionPublisher`. */
export interface DecisionPublisherOptions {
  log: Log
  metrics: Metrics
  /** Returns the newest known assignment. */
  assignment: () => Assignment
  outbox: Outbox
}

/** Logs each decision, records its metrics, and queues the answer to the front. */
export class DecisionPublisher {
  /** @param options - where decisions are logged, counted and sent */
  constructor (private readonly options: DecisionPublisherOptions) {}

  /** @param decision - the grant */
  grant (decision: GrantDecision): void {
    const { ask, front, permit, worker, address, waited, reason, candidates } = decision
    const { log, metrics, assignment, outbox } = this.options
    log.write(EVENTS.granted, { ask: ask.id, class: ask.class, front, waited, reason, worker, permit, candidates })
    metrics.timer('admission_wait', { class: ask.class }).record(waited)
    metrics.counter('admission_granted', { class: ask.class }).add()
    outbox.grant(front, { ask: ask.id, permit, worker, address, waited, version: assignment().version })
  }

  /** @param decision - the refusal */
  refuse (decision: RefuseDecision): void {
    const { ask, front, reason, retryAfter, redirect } = decision
    const { log, metrics, outbox } = this.options
    log.write(EVENTS.refused, { ask: ask.id, class: ask.class, front, waited: ask.waited, reason, retryAfter, redirect })
    metrics.counter('admission_refused', { class: ask.class, reason }).add()
    outbox.refuse(front, { ask: ask.id, reason, retryAfter, redirect })
  }
}
