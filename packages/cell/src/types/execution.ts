import type { ListedEnd, ListedRun, OrderOutcome, PollOrder, StartOrder, StopOrder, WorkerTarget } from './worker.js'
import type { PollFault } from './ports.js'

/** Call to a worker that the decider has another node make. */
export type WorkerCall =
  | { kind: 'start', worker: WorkerTarget, order: StartOrder }
  | { kind: 'stop', worker: WorkerTarget, order: StopOrder }
  | { kind: 'poll', worker: WorkerTarget, order: PollOrder }

/** A run as a tuple, because lists of runs are most of what the decider receives. */
export type RunTuple = [ListedRun['task'], ListedRun['run'], ListedRun['checkpoint'], ListedRun['percent']]
/** An end as a tuple. */
export type EndTuple = [ListedEnd['number'], ListedEnd['task'], ListedEnd['run'], ListedEnd['ending'], ListedEnd['checkpoint']]

/** Result of a call to a worker, as sent to the decider. */
export type WorkerCallResult =
  | { kind: 'outcome', outcome: OrderOutcome }
  | { kind: 'list', clock: number, born: number, running: RunTuple[], ended: EndTuple[] }
  | { kind: 'fault', fault: PollFault }
