import type { Address } from './instance.js'

/**
 * One life of a node process. A restarted process has a new incarnation.
 * Formatted as `id@random`.
 */
export type Incarnation = string

/** A node that may own resources at some version of the assignment. */
export interface Holder {
  incarnation: Incarnation
  dataCentre: string
  /** Where other nodes reach this holder. */
  peer: Address
  /** Set once the holder started a planned stop; it is given nothing new. */
  draining: boolean
}

/**
 * The assignment row of one cell. It is changed only by compare-and-set on its version.
 */
export interface Assignment {
  /** Grows by one at every change; 0 stands for a row that was never written. */
  version: number
  holders: Holder[]
  /** Owner of each resource. A resource without an entry is unowned. */
  owners: Record<ResourceKey, Incarnation>
  /** Nodes whose promises count. */
  voters: Incarnation[]
  /** Set while the voters are being exchanged; removals then need a majority of both sets. */
  nextVoters: Incarnation[] | null
}

/**
 * What is owned: `worker/ID` for a worker, `shard/N` for a range of idempotency keys.
 */
export type ResourceKey = string

/** The assignment before any row was written. */
export const EMPTY_ASSIGNMENT: Assignment = {
  version: 0,
  holders: [],
  owners: {},
  voters: [],
  nextVoters: null
}

/** Number of ranges that idempotency keys are divided into. */
export const KEY_SHARDS = 32

/** What the resource of a worker begins with. */
const WORKER_PREFIX = 'worker/'

/**
 * Names the resource of a worker.
 *
 * @param worker - identifier of the worker
 * @returns its resource key
 */
export function workerResource (worker: string): ResourceKey {
  return WORKER_PREFIX + worker
}

/**
 * Names the resource of a range of idempotency keys.
 *
 * @param shard - number of the range, from 0 to `KEY_SHARDS - 1`
 * @returns its resource key
 */
export function shardResource (shard: number): ResourceKey {
  return `shard/${shard}`
}

/**
 * @param assignment - an assignment
 * @param owner - a holder
 * @returns identifiers of the workers that the holder owns in it
 */
export function workersOwnedBy (assignment: Assignment, owner: Incarnation): string[] {
  return Object.entries(assignment.owners)
    .filter(([resource, holder]) => holder === owner && resource.startsWith(WORKER_PREFIX))
    .map(([resource]) => resource.slice(WORKER_PREFIX.length))
}
