import type { Result } from 'ts-results-es'
import type { OrderOutcome, PollOrder, StartOrder, StopOrder, WorkerList, WorkerReport, WorkerTarget } from './worker.js'

/** Reason for which a poll of a worker failed. */
export interface PollFault {
  /**
   * `superseded`: the worker has seen a higher fencing token; `replaced`: another worker has answered at the worker's address; `silent`: the
   * worker did not answer, or not with a list.
   */
  code: 'superseded' | 'replaced' | 'silent'
  reason: string
}

/** Sends orders and polls to workers. */
export abstract class WorkerClient {
  abstract start (worker: WorkerTarget, order: StartOrder): Promise<OrderOutcome>
  abstract stop (worker: WorkerTarget, order: StopOrder): Promise<OrderOutcome>

  /** Renews the leases of all runs on a worker, acknowledges ends, and lists the worker's runs and ends. */
  abstract poll (worker: WorkerTarget, order: PollOrder): Promise<Result<WorkerList, PollFault>>

  /** Closes the connections to a worker that is no longer used. */
  abstract disconnect (worker: WorkerTarget): void
}

/** Permission to run a step on a worker. */
export interface Ticket {
  worker: string
  text: string
}

/** Outcome of a call to the advice service. */
export type Advice =
  | { kind: 'answered', tickets: Ticket[], /** ms */ validity: number }
  | { kind: 'busy' }
  | { kind: 'failed', reason: string }

/** Client of the advice service, which decides which workers may run a step. The service handles one call of each instance at a time. */
export abstract class Advisor {
  abstract advise (question: { step: string, workers: string[], /** ms */ timeout: number }): Promise<Advice>
}

/** Decodes rows written by the platform. */
export abstract class RowReader {
  /** @returns the worker described by a row of the instance list, or a message that says why the row can't be used */
  abstract readWorker (key: string, value: string): Result<WorkerReport, string>
}
