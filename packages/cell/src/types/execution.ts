import type { ListedEnd, ListedRun, OrderOutcome, PollOrder, StartOrder, StopOrder, WorkerTarget } from './worker.js'
import type { PollFault } from './ports.js'

/** Call to a worker that the decider has another node make. */
export type WorkerCall =
  | { kind: 'start', worker: WorkerTarget, order: StartOrder }
  | { kind: 'stop', worker: WorkerTarget, order: StopOrder }
  | { kind: 'poll', worker: WorkerTarget, order: PollOrder }

/**
 * A call as a tuple: kind, number of the call, number of the worker on this link, then the fields of the order but for its fencing token. `text` is
 * the index of the job's text in the message.
 */
export type CallTuple =
  | [kind: 'poll', call: number, worker: number, acknowledged: number, leaseEnd: number | null, wait: number]
  | [kind: 'start', call: number, worker: number, task: string, run: number, text: number, leaseEnd: number, checkpoint: string, ticket: string | null]
  | [kind: 'stop', call: number, worker: number, task: string, run: number]

/** Has the receiver call workers. */
export interface ExecuteMessage {
  kind: 'execute'
  fence: number
  /**
   * Workers that this link has not carried yet, or that have changed, with the numbers under which calls refer to them from now on, and the difference
   * between the fencing token of their orders and that of the message.
   */
  workers: Array<[number: number, target: WorkerTarget, generation: number]>
  /** Texts of the jobs of which tasks are started. */
  texts: string[]
  calls: CallTuple[]
}

/** A run as a tuple, because lists of runs are most of what the decider receives. */
export type RunTuple = [ListedRun['task'], ListedRun['run'], ListedRun['checkpoint'], ListedRun['percent']]
/** An end as a tuple. */
export type EndTuple = [ListedEnd['number'], ListedEnd['task'], ListedEnd['run'], ListedEnd['ending'], ListedEnd['checkpoint']]

/** Result of a call to a worker, as sent to the decider. */
export type WorkerCallResult =
  | { kind: 'outcome', outcome: OrderOutcome }
  | { kind: 'list', clock: number, born: number, running: RunTuple[], ended: EndTuple[] }
  | { kind: 'fault', fault: PollFault }
