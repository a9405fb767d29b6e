import { Advisor } from '../../src/index.js'
import type { Advice } from '../../src/index.js'
import type { FakeFleet } from './FakeWorkers.js'
import type { NodeClock } from './NodeClock.js'

/** ms for which a ticket is valid. */
const TICKET_VALIDITY_MS = 1500
/** Factor by which the calls of a slow service take longer. */
const SLOW_RATIO = 4
/** Time until a refused call has failed. */
const REFUSAL_MS = 1

/**
 * Condition of the advice service for one node.
 *
 * - `slow`: calls take four times as long
 * - `refused`: calls fail at once
 * - `busy`: the service has too many calls waiting
 * - `silent`: calls get no answer
 * - `throws`: the client throws an error
 */
export type AdviceCondition = 'normal' | 'slow' | 'refused' | 'busy' | 'silent' | 'throws'

/** Options of a fake advisor. */
export interface FakeAdvisorOptions {
  /** Name of the node that makes the calls. */
  node: string
  clock: NodeClock
  fleet: FakeFleet
  /** Returns the duration of a call in ms. */
  duration?: (step: string, workers: number) => number
  /** Returns whether the service allows a worker to run a step; `born` is the start of the worker's incarnation. */
  allows?: (worker: string, born: number, step: string) => boolean
  /** Returns the condition of the service for a node, if it isn't the one set in `condition`. */
  fault?: (node: string) => AdviceCondition | undefined
}

/** Client of an advice service that handles one call of a node at a time. The service knows the incarnation of each worker, and allows no worker that is down. */
export class FakeAdvisor extends Advisor {
  condition: AdviceCondition = 'normal'
  private idleAt = 0

  constructor (private readonly options: FakeAdvisorOptions) {
    super()
  }

  override async advise ({ step, workers, timeout }: { step: string, workers: string[], timeout: number }): Promise<Advice> {
    const { node, clock, duration, fault } = this.options
    const condition = fault?.(node) ?? this.condition
    switch (condition) {
      case 'throws': throw new Error('the client of the advice service is broken')
      case 'refused': return await clock.deliver(REFUSAL_MS, () => ({ kind: 'failed', reason: 'the connection was refused' }))
      case 'busy': return await clock.deliver(REFUSAL_MS, () => ({ kind: 'busy' }))
      case 'silent': return await clock.deliver(timeout, () => ({ kind: 'failed', reason: 'no answer' }))
    }
    const now = clock.now()
    this.idleAt = Math.max(now, this.idleAt) + (duration?.(step, workers.length) ?? 0) * (condition === 'slow' ? SLOW_RATIO : 1)
    if (this.idleAt - now > timeout) return await clock.deliver(timeout, () => ({ kind: 'failed', reason: 'no answer' }))
    await clock.sleep(this.idleAt - now)
    return { kind: 'answered', tickets: workers.flatMap(worker => this.issueTicket(step, worker)), validity: TICKET_VALIDITY_MS }
  }

  private issueTicket (step: string, id: string): Array<{ worker: string, text: string }> {
    const { clock, fleet, allows } = this.options
    const worker = fleet.workers.get(id)
    if (worker === undefined || worker.isDown || allows?.(id, worker.report.born, step) === false) return []
    return [{ worker: id, text: JSON.stringify([step, id, worker.report.born, clock.now() + TICKET_VALIDITY_MS]) }]
  }
}
