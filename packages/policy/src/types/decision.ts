import type { Address, Ask, Incarnation, Load, RefusalReason, Resources } from '@rattanstep/core'

/** A worker as its owner sees it. */
export interface WorkerDescription {
  id: string
  address: Address
  /** What the worker holds in all. */
  resources: Resources
  /** The most connections that it takes from all nodes together. */
  connections: number
  dataCentre: string
  rack: string
}

/** Room on one worker for one ask. */
export interface GrantDecision {
  kind: 'grant'
  ask: Ask
  front: Incarnation
  permit: string
  worker: string
  address: Address
  /** Milliseconds that the ask waited at this owner. */
  waited: number
  /** Why this ask and this worker. */
  reason: string
  /** Workers that were weighed. */
  candidates: number
}

/** No room for one ask; it was not run. */
export interface RefuseDecision {
  kind: 'refuse'
  ask: Ask
  front: Incarnation
  reason: RefusalReason
  /** Milliseconds after which a new attempt has a chance. */
  retryAfter: number
  /** Another owner with free room, or empty. */
  redirect: string
}

/** What became of an ask. */
export type Decision = GrantDecision | RefuseDecision

/** Load of another owner as a heartbeat carried it. */
export interface PeerLoad {
  incarnation: Incarnation
  load: Load
  /** Milliseconds since the load was made. */
  age: number
}

/** What a worker says it runs. */
export interface WorkerUsage {
  /** Requests that it runs. */
  requests: number
  /** Milliseconds since the figures were taken. */
  lag: number
  /** What its tasks use in all. */
  tasks: Resources
}
