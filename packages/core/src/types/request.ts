import type { Address, Resources } from './instance.js'

/** What a caller learns about whether its request was run. */
export type Outcome = 'run' | 'not-run' | 'unknown'

/** Why room was not given. */
export type RefusalReason =
  | 'patience'        // the projected wait is longer than the class's patience
  | 'queue-full'      // too many requests wait already
  | 'caller-limit'    // this caller has too many requests in flight
  | 'no-worker'       // no worker that could run this is owned by the node
  | 'never-fits'      // no worker is large enough
  | 'not-owner'       // the asked node may not fill workers now
  | 'draining'        // the asked node is stopping
  | 'cancelled'       // the asker withdrew
  | 'no-owner'        // no node is known that could give room
  | 'quota'           // the team's quota is used up

/** A front's request for room on one worker. */
export interface Ask {
  /** Unique in the life of the asking node. */
  id: string
  /** Name of the class that the rules gave to the request. */
  class: string
  /** Whoever shares a fair part of the class: an API key or an address. */
  caller: string
  /** Team whose quota applies; empty when there is none. */
  team: string
  /** What the request is declared to need. */
  resources: Resources
  /** Milliseconds that the asker still waits for room. */
  patience: number
  /** Milliseconds already waited at other owners. */
  waited: number
  /** Workers that failed this request already and are not to be chosen again. */
  avoid: string[]
}

/**
 * Milliseconds that a grant may spend on its way from the owner to the dispatch of the request.
 * A front does not use an older one; a new owner waits that long before it trusts a worker's report.
 */
export const PERMIT_VALIDITY_MS = 1000

/** Room on one worker, valid while the asker renews it. */
export interface Grant {
  ask: string
  permit: string
  worker: string
  address: Address
  /** Milliseconds that the request waited at this owner. */
  waited: number
  /** Version of the assignment under which the owner admitted. */
  version: number
}

/** No room. The asker may try elsewhere. */
export interface Refusal {
  ask: string
  reason: RefusalReason
  /** Milliseconds after which a new attempt has a chance. */
  retryAfter: number
  /** Another owner with free room, or empty. */
  redirect: string
}

/** How a request that held a permit ended. */
export type Ending =
  | 'completed'
  | 'failed'    // no byte could be sent for a fault of the worker
  | 'abandoned' // bytes left and no whole answer came: the worker may still run it
  | 'unsent'    // no byte left
  | 'cancelled' // cut off for the caller's sake: the worker may still run it, and is not to blame

/** Gives a permit back. */
export interface Release {
  permit: string
  worker: string
  ending: Ending
  /** Milliseconds from dispatch to the end of the answer. */
  serviceTime: number
}

/** A permit that a front says is in use. */
export interface Permit {
  permit: string
  worker: string
  class: string
  caller: string
  team: string
  resources: Resources
  /** Milliseconds since the permit was granted. */
  age: number
}

/** What an owner tells others about its load. */
export interface Load {
  /** Sum of the slots of its usable workers. */
  slots: number
  /** Slots that are not in use. */
  free: number
  /** Requests that wait, by priority, highest first: `[priority, count, projected wait in ms]`. */
  waiting: Array<{ priority: number, count: number, wait: number }>
  /** Mean service time in milliseconds, over all classes. */
  service: number
}
