import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'
import type { Advice } from '../types/ports.js'
import type { AdviceScheduler } from './AdviceScheduler.js'
import type { StepState, WorkerState } from './model.js'
import type { AdviceRequest } from './planRound.js'

/** ms after which a question is given up, beyond what it should take. */
const ANSWER_MARGIN_MS = 1500
/** ms before a step is asked about again after a question that was not answered. */
const RETRY_DELAY_MS = 100

/** What the advice on steps needs. */
export interface StepAdvisorOptions {
  scheduler: AdviceScheduler
  clock: Clock
  log: Log
  ask: (node: string, question: { step: string, workers: string[], timeout: number }) => Promise<Advice>
  /** An answer has come, or a node is free again. */
  onChange: () => void
}

/** Has nodes ask the advice service which workers may run a step, and takes the answers in. */
export class StepAdvisor {
  constructor (private readonly options: StepAdvisorOptions) {}

  /** Sends a question that was planned. */
  async advise ({ step, route, workers, node, cost }: AdviceRequest): Promise<void> {
    const { scheduler, clock, log, ask, onChange } = this.options
    const sentAt = clock.now()
    scheduler.callSent(node, cost, sentAt)
    step.isAdvicePending = true
    const answer = await ask(node, { step: step.name, workers: workers.map(worker => worker.report.id), timeout: cost + ANSWER_MARGIN_MS })
    const now = clock.now()
    step.isAdvicePending = false
    scheduler.callEnded(node, cost, now)
    const allowed = answer.kind === 'answered' ? answer.tickets.length : 0
    log.write(CELL_EVENTS.advised, {
      step: step.name, asker: node, named: workers.length, allowed, duration: Math.round(now - sentAt), expected: Math.round(cost), outcome: answer.kind, ...('reason' in answer ? { reason: answer.reason } : {})
    })
    if (answer.kind === 'answered') {
      applyAdvice(step, workers, answer, now)
      scheduler.updateAllowedShare(route.name, allowed, workers.length)
    } else step.nextAdviceAt = now + RETRY_DELAY_MS
    onChange()
  }
}

function applyAdvice (step: StepState, workers: WorkerState[], advice: Extract<Advice, { kind: 'answered' }>, now: number): void {
  for (const worker of workers) step.allowedByWorker.set(worker.report.id, false)
  for (const { worker, text } of advice.tickets) {
    step.allowedByWorker.set(worker, true)
    step.tickets.set(worker, { text, validUntil: now + advice.validity })
  }
}
