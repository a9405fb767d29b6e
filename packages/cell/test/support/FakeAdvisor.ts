import { Advisor } from '../../src/index.js'
import type { Advice, StartOrder } from '../../src/index.js'
import type { FakeFleet, FakeWorker } from './FakeWorkers.js'
import type { NodeClock } from './NodeClock.js'

/** Time for which a ticket is valid. */
export const TICKET_VALIDITY_MS = 1500
/** Factor by which the calls of a slow service take longer. */
const SLOW_RATIO = 4
/** Time after which a service that doesn't answer its calls refuses them. */
const REFUSAL_MS = 20

/**
 * Condition of the advice service for one node.
 *
 * - `slow`: calls take four times as long
 * - `failing`: every call fails
 * - `refusing`: the service has too many calls waiting
 * - `silent`: calls get no answer
 */
export type AdviceCondition = 'normal' | 'slow' | 'failing' | 'refusing' | 'silent'

/** Options of a fake advisor. */
export interface FakeAdvisorOptions {
  clock: NodeClock
  fleet: FakeFleet
  /** Returns the duration of a call in ms. */
  duration: (step: string, workers: number) => number
  allows: (worker: string, step: string) => boolean
}

/** Advice service that handles one call of a node at a time. Its tickets are valid for one step during one life of a worker. */
export class FakeAdvisor extends Advisor {
  condition: AdviceCondition = 'normal'
  private idleAt = 0

  constructor (private readonly options: FakeAdvisorOptions) {
    super()
  }

  override async advise ({ step, workers, timeout }: { step: string, workers: string[], timeout: number }): Promise<Advice> {
    const { clock, fleet, duration, allows } = this.options
    const { condition } = this
    if (condition === 'failing' || condition === 'refusing') {
      await clock.sleep(REFUSAL_MS)
      return condition === 'refusing' ? { kind: 'busy' } : { kind: 'failed', reason: 'status 503' }
    }
    const now = clock.now()
    this.idleAt = Math.max(now, this.idleAt) + duration(step, workers.length) * (condition === 'slow' ? SLOW_RATIO : 1)
    if (condition === 'silent' || this.idleAt - now > timeout) {
      await clock.sleep(timeout)
      return { kind: 'failed', reason: 'no answer' }
    }
    await clock.sleep(this.idleAt - now)
    const validUntil = clock.now() + TICKET_VALIDITY_MS
    const tickets = workers.filter(worker => allows(worker, step)).map(worker => ({ worker, text: [step, worker, fleet.workers.get(worker)?.report.born, validUntil].join(' ') }))
    return { kind: 'answered', tickets, validity: TICKET_VALIDITY_MS }
  }
}

/** @returns whether an order carries a ticket for its step that is valid now during the worker's present life */
export function hasValidTicket ({ task, ticket = '' }: StartOrder, { report }: FakeWorker, now: number): boolean {
  const [step, worker, born, validUntil] = ticket.split(' ')
  return step === task.slice(0, task.lastIndexOf('.')) && worker === report.id && Number(born) === report.born && now <= Number(validUntil)
}
