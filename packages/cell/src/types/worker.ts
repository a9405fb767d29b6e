import type { Size } from './job.js'

/** Entry of a worker in the platform's list of instances. */
export interface WorkerReport {
  id: string
  /** Pool to which the worker belongs. */
  service: string
  /** `HOST:PORT` */
  address: string
  dataCentre: string
  state: 'ready' | 'draining'
  capacity: Size
  labels: string[]
  /** Start time of the worker's current incarnation, ms since 1970. */
  born: number
}

/** What a call to a worker needs to know about it. */
export type WorkerTarget = Pick<WorkerReport, 'id' | 'address' | 'born' | 'dataCentre'>

/** A run that a worker lists as running. */
export interface ListedRun {
  task: string
  run: number
  checkpoint: string
  /** Progress from 0 to 100. */
  percent: number
}

/**
 * Way in which a run ended. `done` and `failed` are results of the task; after any other ending, such as `lapsed` when the lease has
 * expired, the task is placed again and the run doesn't count as failed.
 */
export type RunEnding = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** The end of a run, which the worker lists until the end is acknowledged. */
export interface ListedEnd {
  /** Sequence number within the worker's incarnation, from 1. */
  number: number
  task: string
  run: number
  ending: RunEnding
  checkpoint: string
}

/** Answer of a worker to a poll. */
export interface WorkerList {
  /** The worker's own monotonic clock, in ms. */
  clock: number
  born: number
  running: ListedRun[]
  ended: ListedEnd[]
}

/** Order to start a run. */
export interface StartOrder {
  task: string
  run: number
  spec: string
  /** End of the lease on the worker's clock, in ms. */
  leaseEnd: number
  fence: number
  checkpoint: string
  /** Ticket of the advice service, if the route needs one. */
  ticket?: string
}

/** Order to stop a run. */
export interface StopOrder {
  task: string
  run: number
  fence: number
}

/** Order to renew leases and to list runs and ends. */
export interface PollOrder {
  fence: number
  /** Number of the last recorded end. */
  acknowledged: number
  /** New end of the leases in ms on the worker's clock; absent to leave the leases unchanged. */
  leaseEnd?: number
  /** Maximum time in ms for which the worker may hold back its answer until a run ends. */
  wait: number
}

/** Outcome of an order, as far as it is known. */
export type OrderOutcome =
  | { kind: 'taken', clock: number }
  /**
   * The worker has not carried out the order. `fence`: it has seen a higher fencing token; `old`: a run of the task with this number or a
   * higher one was stopped or has ended there; `late`: the end of the lease has passed on its clock; `room`: it lacks capacity; `ticket`: it
   * doesn't accept the ticket; `malformed`: it can't decode the order.
   */
  | { kind: 'refused', reason: 'fence' | 'old' | 'late' | 'room' | 'ticket' | 'malformed' | 'other' }
  /** The order was not carried out, because it could not be sent or because the worker accepts no orders at present. */
  | { kind: 'unwell' }
  /** Another incarnation answered at the worker's address. */
  | { kind: 'other-incarnation' }
  /** The order may have been carried out, or may still be carried out later. */
  | { kind: 'unknown', reason: string }
