import type { Address, Ask, Incarnation, Load, RefusalReason, Resources } from '@rattanstep/core'

/** Description of a worker that an owner admits work to. */
export interface WorkerDescription {
  id: string
  address: Address
  /** Total resources of the worker. */
  resources: Resources
  /** Maximum number of connections that it accepts from all nodes together. */
  connections: number
  dataCentre: string
  rack: string
}

/** Grants capacity on one worker to one ask. */
export interface GrantDecision {
  kind: 'grant'
  ask: Ask
  /** Front that sent the ask. */
  front: Incarnation
  permit: string
  worker: string
  address: Address
  /** Time in ms that the ask waited at this owner. */
  waited: number
  /** Why the ask was granted at this time. */
  reason: string
  /** Number of workers that were compared. */
  candidates: number
}

/** Refuses capacity to one ask. The request was not run. */
export interface RefuseDecision {
  kind: 'refuse'
  ask: Ask
  /** Front that sent the ask. */
  front: Incarnation
  reason: RefusalReason
  /** Time in ms after which a new attempt may succeed. */
  retryAfter: number
  /** Another owner with free capacity, or empty. */
  redirect: string
}

/** Decision on an ask. */
export type Decision = GrantDecision | RefuseDecision

/** Load of another owner, received with a heartbeat. */
export interface PeerLoad {
  incarnation: Incarnation
  load: Load
  /** Age of the load in ms. */
  age: number
}

/** Usage that a worker reports. */
export interface WorkerUsage {
  /** Number of requests that it runs. */
  requests: number
  /** Age of the figures in ms. */
  lag: number
  /** Total resources that its tasks use. */
  tasks: Resources
}
