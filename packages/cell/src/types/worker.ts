import type { Size } from './job.js'

/** What a worker says of itself in the list of instances. */
export interface WorkerReport {
  id: string
  /** Pool that it belongs to. */
  service: string
  /** `HOST:PORT` */
  address: string
  dataCentre: string
  state: 'ready' | 'draining'
  capacity: Size
  labels: string[]
  /** Start of this incarnation, ms since 1970. */
  born: number
}

/** A run that a worker lists as present. */
export interface ListedRun {
  task: string
  run: number
  checkpoint: string
  /** Progress from 0 to 100. */
  percent: number
}

/** How a run ended. */
export type RunEnding = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** An end that a worker lists until it is acknowledged. */
export interface ListedEnd {
  /** Number within the worker's incarnation, from 1. */
  number: number
  task: string
  run: number
  how: RunEnding
  checkpoint: string
}

/** Answer to a look at a worker. */
export interface WorkerList {
  /** The worker's own monotonic clock, in ms. */
  clock: number
  born: number
  running: ListedRun[]
  ended: ListedEnd[]
}

/** An order to start a run. */
export interface StartOrder {
  task: string
  run: number
  spec: string
  /** Lease end on the worker's clock, in ms. */
  leaseEnd: number
  fence: number
  checkpoint: string
  /** Permission of the advice service, when the route needs one. */
  ticket?: string
}

/** What is known of an order after its answer, or the lack of one. */
export type OrderOutcome =
  | { kind: 'taken', clock: number }
  | { kind: 'refused', reason: 'fence' | 'old' | 'late' | 'room' | 'ticket' | 'malformed' | 'other' }
  /** The worker is unwell and has done nothing. */
  | { kind: 'unwell' }
  /** Another incarnation answers at that address. */
  | { kind: 'other-incarnation' }
  /** It may have been carried out, or may still be. */
  | { kind: 'unknown', reason: string }
