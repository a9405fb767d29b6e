import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'
import type { Advice } from '../types/ports.js'
import type { AdviceDesk } from './AdviceDesk.js'
import type { StepState, WorkerState } from './model.js'
import type { AdviceWish } from './planRound.js'

/** ms after which a question is given up, beyond what it should take. */
const PATIENCE = 1500
/** ms before a step is asked about again after a question that was not answered. */
const PAUSE = 100

/** What the advice on steps needs. */
export interface StepAdvisorOptions {
  desk: AdviceDesk
  clock: Clock
  log: Log
  ask: (node: string, question: { step: string, workers: string[], timeout: number }) => Promise<Advice>
  /** An answer has come, or a node is free again. */
  changed: () => void
}

/** Has nodes ask the advice service which workers may run a step, and takes the answers in. */
export class StepAdvisor {
  constructor (private readonly options: StepAdvisorOptions) {}

  /** Sends a question that was planned. */
  async advise ({ step, route, workers, node, cost }: AdviceWish): Promise<void> {
    const { desk, clock, log, ask, changed } = this.options
    const sentAt = clock.now()
    desk.sent(node, cost, sentAt)
    step.asking = true
    const answer = await ask(node, { step: step.name, workers: workers.map(worker => worker.report.id), timeout: cost + PATIENCE })
    const now = clock.now()
    step.asking = false
    desk.ended(node, cost, now)
    const allowed = answer.kind === 'answered' ? answer.tickets.length : 0
    log.write(CELL_EVENTS.advised, {
      step: step.name, asker: node, named: workers.length, allowed, duration: Math.round(now - sentAt), expected: Math.round(cost), outcome: answer.kind, ...('reason' in answer ? { reason: answer.reason } : {})
    })
    if (answer.kind === 'answered') {
      takeAdvice(step, workers, answer, now)
      desk.learn(route.name, allowed, workers.length)
    } else step.askAfter = now + PAUSE
    changed()
  }
}

function takeAdvice (step: StepState, workers: WorkerState[], advice: Extract<Advice, { kind: 'answered' }>, now: number): void {
  for (const worker of workers) step.rulings.set(worker.report.id, false)
  for (const { worker, text } of advice.tickets) {
    step.rulings.set(worker, true)
    step.tickets.set(worker, { text, validUntil: now + advice.validity })
  }
}
