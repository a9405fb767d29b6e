import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'
import type { Advice } from '../types/ports.js'
import type { AdviceScheduler } from './AdviceScheduler.js'
import { applyAdvice, asAsked } from './applyAdvice.js'
import type { AdviceRequest } from './planRound.js'

/** Added to the expected duration of a call to obtain its timeout. */
const ANSWER_MARGIN_MS = 1500
/** Delay before the next call for a step after a call that was not answered. */
const RETRY_DELAY_MS = 100

/** Options of a step advisor. */
export interface StepAdvisorOptions {
  scheduler: AdviceScheduler
  clock: Clock
  log: Log
  /** Has a node call the advice service; `timeout` in ms. */
  ask: (node: string, question: { step: string, workers: string[], timeout: number }) => Promise<Advice>
  /** Called when a call has ended, so that new tickets may be available and a node may be idle. */
  onChange: () => void
}

/** Has nodes call the advice service about the workers that may run a step, and applies the answers. */
export class StepAdvisor {
  constructor (private readonly options: StepAdvisorOptions) {}

  /** Makes a planned call. */
  async advise (request: AdviceRequest): Promise<void> {
    const { step, route, workers, node, cost } = request
    const { scheduler, clock, log, onChange } = this.options
    const sentAt = clock.now()
    scheduler.callSent(node, cost, sentAt)
    const asked = workers.map(asAsked)
    const ids = workers.map(worker => worker.report.id)
    for (const id of ids) step.askedWorkers.add(id)
    const answer = await this.ask(request, ids)
    const now = clock.now()
    for (const id of ids) step.askedWorkers.delete(id)
    step.nextPlanAt = 0
    scheduler.callEnded(node, cost, now)
    if (answer.kind === 'answered') scheduler.callAnswered(node, now)
    else scheduler.callFailed(node, now)
    const allowed = answer.kind === 'answered' ? answer.tickets.length : 0
    log.write(CELL_EVENTS.advised, {
      step: step.name, asker: node, named: workers.length, allowed, duration: Math.round(now - sentAt), expected: Math.round(cost), outcome: answer.kind, ...('reason' in answer ? { reason: answer.reason } : {})
    })
    if (answer.kind === 'answered') {
      applyAdvice(step, asked, answer, now)
      scheduler.updateAllowedShare(route.name, allowed, workers.length)
    } else step.nextAdviceAt = now + RETRY_DELAY_MS
    onChange()
  }

  /** An error counts as a failed call: the workers would otherwise count as asked about, and the node as busy, for as long as the decider runs. */
  private async ask ({ step, node, cost }: AdviceRequest, workers: string[]): Promise<Advice> {
    const { ask, log } = this.options
    try {
      return await ask(node, { step: step.name, workers, timeout: cost + ANSWER_MARGIN_MS })
    } catch (error) {
      log.write(CELL_EVENTS.fault, { step: 'advice', error: error instanceof Error ? error.stack : String(error) })
      return { kind: 'failed', reason: 'the client failed' }
    }
  }
}
