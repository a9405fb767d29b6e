import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { Err } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { WorkerClient } from '../types/ports.js'
import type { PollFault } from '../types/ports.js'
import type { OrderOutcome, PollOrder, StartOrder, StopOrder, WorkerList, WorkerTarget } from '../types/worker.js'
import { settle } from './settle.js'

/** Time after which a call is given up, in addition to the time for which a poll may wait: longer than the timeouts of a delegated call and its repeat. */
const CALL_TIMEOUT_MS = 3000

/** A worker client each of whose calls has an outcome, whatever the actual client does. */
export class BoundedWorkerClient extends WorkerClient {
  constructor (private readonly options: { workers: WorkerClient, clock: Clock, log: Log }) {
    super()
  }

  override async start (worker: WorkerTarget, order: StartOrder): Promise<OrderOutcome> {
    return await this.order('order to start', async workers => await workers.start(worker, order))
  }

  override async stop (worker: WorkerTarget, order: StopOrder): Promise<OrderOutcome> {
    return await this.order('order to stop', async workers => await workers.stop(worker, order))
  }

  override async poll (worker: WorkerTarget, order: PollOrder): Promise<Result<WorkerList, PollFault>> {
    const { workers, clock, log } = this.options
    return await settle(async () => await workers.poll(worker, order), { clock, log, step: 'poll of a worker', timeout: order.wait + CALL_TIMEOUT_MS, outcomeOf: reason => Err({ code: 'silent', reason }) })
  }

  override disconnect (worker: WorkerTarget): void {
    this.options.workers.disconnect(worker)
  }

  private async order (step: string, call: (workers: WorkerClient) => Promise<OrderOutcome>): Promise<OrderOutcome> {
    const { workers, clock, log } = this.options
    return await settle(async () => await call(workers), { clock, log, step, timeout: CALL_TIMEOUT_MS, outcomeOf: reason => ({ kind: 'unknown', reason }) })
  }
}
