import type { Clock } from '@rattanstep/core'
import type { Result } from 'ts-results-es'
import type { WorkerCall, WorkerCallResult } from '../types/execution.js'
import { WorkerClient } from '../types/ports.js'
import type { PollFault } from '../types/ports.js'
import type { OrderOutcome, PollOrder, StartOrder, StopOrder, WorkerList, WorkerTarget } from '../types/worker.js'
import { ExecutorSelection } from './ExecutorSelection.js'
import type { Executor } from './ExecutorSelection.js'
import { decodePollResult } from './executeWorkerCall.js'

/** Timeout of a delegated call, in addition to the time for which a poll may wait: longer than the executor's own timeout. */
const EXECUTION_TIMEOUT_MS = 800

/** Options of a delegating worker client. */
export interface DelegatingWorkerClientOptions {
  /** This node's own client. */
  direct: WorkerClient
  clock: Clock
  /** Returns the nodes that follow; a new array after each change. */
  executors: () => readonly Executor[]
  /** Has a node make a call; `undefined` if no answer arrived within `timeout` ms or the node no longer follows. */
  execute: (node: string, call: WorkerCall, timeout: number) => Promise<WorkerCallResult | undefined>
}

/**
 * Has other nodes call the workers for the decider, so that the decider's processor and link don't limit the number of workers.
 *
 * The decider alone decides and keeps all state. An order is as harmless when an executor sends it late as when the network delivers it
 * late: it carries the fencing token, and the end of its lease is a time on the worker's clock. A lost executor therefore costs an order
 * whose outcome is unknown, and a poll that is repeated.
 */
export class DelegatingWorkerClient extends WorkerClient {
  private readonly selection: ExecutorSelection

  constructor (private readonly options: DelegatingWorkerClientOptions) {
    super()
    this.selection = new ExecutorSelection(options)
  }

  override async start (worker: WorkerTarget, order: StartOrder): Promise<OrderOutcome> {
    const node = this.selection.select(worker)
    if (node === undefined) return await this.options.direct.start(worker, order)
    return toOutcome(await this.execute(node, { kind: 'start', worker: targetOf(worker), order }, EXECUTION_TIMEOUT_MS))
  }

  override async stop (worker: WorkerTarget, order: StopOrder): Promise<OrderOutcome> {
    const node = this.selection.select(worker)
    if (node === undefined) return await this.options.direct.stop(worker, order)
    return toOutcome(await this.execute(node, { kind: 'stop', worker: targetOf(worker), order }, EXECUTION_TIMEOUT_MS))
  }

  override async poll (worker: WorkerTarget, order: PollOrder): Promise<Result<WorkerList, PollFault>> {
    const node = this.selection.select(worker)
    if (node === undefined) return await this.pollDirectly(worker, order)
    const result = await this.execute(node, { kind: 'poll', worker: targetOf(worker), order }, order.wait + EXECUTION_TIMEOUT_MS)
    // A lost executor says nothing about the worker. A repeated poll is harmless.
    if (result === undefined) return await this.pollDirectly(worker, { ...order, wait: 0 })
    const list = decodePollResult(result)
    if (list.isErr() && list.error.code === 'silent') this.selection.detour(worker.id)
    return list
  }

  override disconnect (worker: WorkerTarget): void {
    this.options.direct.disconnect(worker)
  }

  private async pollDirectly (worker: WorkerTarget, order: PollOrder): Promise<Result<WorkerList, PollFault>> {
    const list = await this.options.direct.poll(worker, order)
    if (list.isErr()) this.selection.endDetour(worker.id)
    return list
  }

  private async execute (node: string, call: WorkerCall, timeout: number): Promise<WorkerCallResult | undefined> {
    const result = await this.options.execute(node, call, timeout)
    if (result === undefined) this.selection.suspend(node)
    return result
  }
}

/** Omits the rest of the worker's report, which callers pass as a target. */
function targetOf ({ id, address, born, dataCentre }: WorkerTarget): WorkerTarget {
  return { id, address, born, dataCentre }
}

function toOutcome (result: WorkerCallResult | undefined): OrderOutcome {
  if (result === undefined) return { kind: 'unknown', reason: 'the executor did not answer' }
  return result.kind === 'outcome' ? result.outcome : { kind: 'unknown', reason: 'the executor answered an order with a list' }
}
