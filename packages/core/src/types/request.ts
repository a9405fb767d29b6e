import type { Address, Resources } from './instance.js'

/** Whether a request was run, as reported to the caller. */
export type Outcome = 'run' | 'not-run' | 'unknown'

/** Reason why capacity was refused. */
export type RefusalReason =
  | 'patience'        // the estimated wait is longer than the patience of the class
  | 'queue-full'      // too many requests are waiting
  | 'caller-limit'    // the caller has too many requests in flight
  | 'no-worker'       // the node owns no worker that could run the request
  | 'never-fits'      // no worker is large enough
  | 'not-owner'       // the node may not admit work to workers at present
  | 'draining'        // the node is stopping
  | 'cancelled'       // the front cancelled the ask
  | 'no-owner'        // no node is known that could grant capacity
  | 'quota'           // the quota of the team is used up

/**
 * Request for capacity on one worker, sent by a front to an owner of workers. A front is the part of a node that accepts
 * requests from callers.
 */
export interface Ask {
  /** Identifier that is unique within the incarnation of the front. */
  id: string
  /** Name of the class that the rules assign to the request. */
  class: string
  /** Key by which the class is shared fairly: an API key or an address. */
  caller: string
  /** Team whose quota applies; empty when there is none. */
  team: string
  /** Resources that the request is declared to need. */
  resources: Resources
  /** Time in ms that the front will still wait for capacity. */
  patience: number
  /** Time in ms that the request has already waited at other owners. */
  waited: number
  /** Workers that have already failed this request and must not be chosen again. */
  avoid: string[]
}

/**
 * Maximum time between the grant by the owner and the dispatch of the request.
 * A front does not use an older grant, and a new owner waits that long before it relies on a worker's report.
 */
export const PERMIT_VALIDITY_MS = 1000

/** Capacity on one worker, valid while the front renews the permit. */
export interface Grant {
  ask: string
  permit: string
  worker: string
  address: Address
  /** Time in ms that the request waited at this owner. */
  waited: number
  /** Version of the assignment under which the owner granted it. */
  version: number
}

/** Refusal of an ask. The front may ask another owner. */
export interface Refusal {
  ask: string
  reason: RefusalReason
  /** Time in ms after which a new attempt may succeed. */
  retryAfter: number
  /** Another owner with free capacity, or empty. */
  redirect: string
}

/** How a request that held a permit ended. */
export type Ending =
  | 'completed'
  | 'failed'    // no byte could be sent because of a fault of the worker
  | 'abandoned' // bytes were sent and no complete answer came: the worker may still run it
  | 'unsent'    // no byte was sent
  | 'cancelled' // aborted on the caller's side: the worker may still run it, and did not fail

/** Release of a permit. */
export interface Release {
  permit: string
  worker: string
  ending: Ending
  /** Time in ms from the dispatch to the end of the answer. */
  serviceTime: number
}

/** A permit that a front reports as in use. */
export interface Permit {
  permit: string
  worker: string
  class: string
  caller: string
  team: string
  resources: Resources
  /** Time in ms since the permit was granted. */
  age: number
}

/** Load of an owner, as sent to other nodes. */
export interface Load {
  /** Total slots of its usable workers. */
  slots: number
  /** Free slots of its usable workers. */
  free: number
  /** Waiting requests by priority, highest first: their number, and their estimated wait in ms. */
  waiting: Array<{ priority: number, count: number, wait: number }>
  /** Median service time of all classes in ms. */
  service: number
}
