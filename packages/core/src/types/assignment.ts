import type { Address } from './instance.js'

/**
 * Identifier of one run of a node process, formatted as `id@random`. A restarted process has a new incarnation.
 */
export type Incarnation = string

/** A node that may own resources under an assignment. */
export interface Holder {
  incarnation: Incarnation
  dataCentre: string
  /** Address at which other nodes reach this holder. */
  peer: Address
  /** Whether the holder has started a planned stop; it gets no new resources. */
  draining: boolean
}

/**
 * The assignment of one cell, stored as one row. It is changed only by compare-and-set on its version.
 */
export interface Assignment {
  /** Increases by one with every change; 0 means that the row was never written. */
  version: number
  holders: Holder[]
  /** Owner of each resource. A resource without an entry is unowned. */
  owners: Record<ResourceKey, Incarnation>
  /** Nodes whose promises count towards a majority. */
  voters: Incarnation[]
  /** New voters while the set is being changed, else `null`. Removals then need a majority of both sets. */
  nextVoters: Incarnation[] | null
}

/**
 * Key of an owned resource: `worker/ID` for a worker, `shard/N` for a range of idempotency keys.
 */
export type ResourceKey = string

/** The assignment before the row was first written. */
export const EMPTY_ASSIGNMENT: Assignment = {
  version: 0,
  holders: [],
  owners: {},
  voters: [],
  nextVoters: null
}

/** Number of ranges into which idempotency keys are divided. */
export const KEY_SHARDS = 32

/** Prefix of the resource keys of workers. */
const WORKER_PREFIX = 'worker/'

/**
 * Builds the resource key of a worker.
 *
 * @param worker - identifier of the worker
 * @returns its resource key
 */
export function workerResource (worker: string): ResourceKey {
  return WORKER_PREFIX + worker
}

/**
 * Builds the resource key of a range of idempotency keys.
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
