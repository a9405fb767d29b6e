import type { Clock } from '@rattanstep/core'
import type { Metrics } from '@rattanstep/telemetry'
import type { Result } from 'ts-results-es'
import { WorkerClient } from '../types/ports.js'
import type { PollFault } from '../types/ports.js'
import type { OrderOutcome, PollOrder, StartOrder, StopOrder, WorkerList, WorkerTarget } from '../types/worker.js'

/** Adds the answer times of orders and polls to the metrics, with the way through an executor. */
export class InstrumentedWorkerClient extends WorkerClient {
  constructor (private readonly options: { workers: WorkerClient, clock: Clock, metrics: Metrics }) {
    super()
  }

  override async start (worker: WorkerTarget, order: StartOrder): Promise<OrderOutcome> {
    return await this.measure('start', async workers => await workers.start(worker, order), ({ kind }) => kind)
  }

  override async stop (worker: WorkerTarget, order: StopOrder): Promise<OrderOutcome> {
    return await this.measure('stop', async workers => await workers.stop(worker, order), ({ kind }) => kind)
  }

  override async poll (worker: WorkerTarget, order: PollOrder): Promise<Result<WorkerList, PollFault>> {
    return await this.measure(order.wait > 0 ? 'waiting-poll' : 'poll', async workers => await workers.poll(worker, order), list => list.isOk() ? 'list' : list.error.code)
  }

  override disconnect (worker: WorkerTarget): void {
    this.options.workers.disconnect(worker)
  }

  private async measure<Outcome> (call: string, make: (workers: WorkerClient) => Promise<Outcome>, nameOf: (outcome: Outcome) => string): Promise<Outcome> {
    const { workers, clock, metrics } = this.options
    const sentAt = clock.now()
    const outcome = await make(workers)
    metrics.timer('worker_call', { call, outcome: nameOf(outcome) }).record(clock.now() - sentAt)
    return outcome
  }
}
