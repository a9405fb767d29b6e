import type { Result } from 'ts-results-es'
import type { OrderOutcome, StartOrder, WorkerList, WorkerReport } from './worker.js'

/** Why a look gave nothing. */
export interface PollFault {
  /** `outrun`: the worker has seen a higher fencing token. */
  code: 'outrun' | 'silent'
  reason: string
}

/** Orders to workers. */
export abstract class WorkerClient {
  abstract start (worker: WorkerReport, order: StartOrder): Promise<OrderOutcome>
  abstract stop (worker: WorkerReport, order: { task: string, run: number, fence: number }): Promise<OrderOutcome>

  /**
   * Renews the lease of everything that runs on a worker, acknowledges ends and lists what is there.
   *
   * @param order - `acknowledged`: number of the last recorded end; `leaseEnd`: on the worker's clock, absent to leave leases alone;
   * `wait`: ms that the answer may wait for an end
   */
  abstract poll (worker: WorkerReport, order: { fence: number, acknowledged: number, leaseEnd?: number, wait: number }): Promise<Result<WorkerList, PollFault>>

  /** Closes connections to a worker that is no longer used. */
  abstract disconnect (worker: WorkerReport): void
}

/** Permission to run a step on a worker. */
export interface Ticket {
  worker: string
  text: string
}

/** Outcome of one question to the advice service. */
export type Advice =
  | { kind: 'answered', tickets: Ticket[], /** ms */ validity: number }
  | { kind: 'busy' }
  | { kind: 'failed', reason: string }

/** Knows which workers may run a step. Serves one call at a time for each calling instance. */
export abstract class Advisor {
  abstract advise (question: { step: string, workers: string[], /** ms */ timeout: number }): Promise<Advice>
}

/** Reads rows that others write. */
export abstract class RowReader {
  /** @returns the worker that a row of the instance list names, or why it names none */
  abstract readWorker (key: string, value: string): Result<WorkerReport, string>
}
