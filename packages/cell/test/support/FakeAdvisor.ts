import { Advisor } from '../../src/index.js'
import type { Advice } from '../../src/index.js'
import type { FakeFleet } from './FakeWorkers.js'
import type { NodeClock } from './NodeClock.js'

/** ms for which a ticket is valid. */
const TICKET_VALIDITY_MS = 1500
/** Time until a refused call has failed. */
const REFUSAL_MS = 1

/** `refused`: calls fail at once; `silent`: calls get no answer; `throws`: the client throws an error. */
export type AdviceFault = 'refused' | 'silent' | 'throws'

/** Options of a fake advisor. */
export interface FakeAdvisorOptions {
  /** Name of the node that makes the calls. */
  node: string
  clock: NodeClock
  fleet: FakeFleet
  /** Returns the duration of a call in ms. */
  duration?: (step: string, workers: number) => number
  /** Returns whether the service allows a worker; `born` is the start of the worker's incarnation. */
  allows?: (worker: string, born: number) => boolean
  /** Returns what is wrong with a node's connection to the service, if anything. */
  fault?: (node: string) => AdviceFault | undefined
}

/** Client of an advice service that handles one call of a node at a time. The service knows the incarnation of each worker, and allows no worker that is down. */
export class FakeAdvisor extends Advisor {
  private idleAt = 0

  constructor (private readonly options: FakeAdvisorOptions) {
    super()
  }

  override async advise ({ step, workers, timeout }: { step: string, workers: string[], timeout: number }): Promise<Advice> {
    const { node, clock, duration, fault } = this.options
    switch (fault?.(node)) {
      case 'throws': throw new Error('the client of the advice service is broken')
      case 'refused': return await clock.deliver(REFUSAL_MS, () => ({ kind: 'failed', reason: 'the connection was refused' }))
      case 'silent': return await clock.deliver(timeout, () => ({ kind: 'failed', reason: 'no answer' }))
    }
    const now = clock.now()
    this.idleAt = Math.max(now, this.idleAt) + (duration?.(step, workers.length) ?? 0)
    if (this.idleAt - now > timeout) return await clock.deliver(timeout, () => ({ kind: 'failed', reason: 'no answer' }))
    await clock.sleep(this.idleAt - now)
    return { kind: 'answered', tickets: workers.flatMap(worker => this.issueTicket(step, worker)), validity: TICKET_VALIDITY_MS }
  }

  private issueTicket (step: string, id: string): Array<{ worker: string, text: string }> {
    const { clock, fleet, allows } = this.options
    const worker = fleet.workers.get(id)
    if (worker === undefined || worker.isDown || allows?.(id, worker.report.born) === false) return []
    return [{ worker: id, text: JSON.stringify([step, id, worker.report.born, clock.now() + TICKET_VALIDITY_MS]) }]
  }
}
