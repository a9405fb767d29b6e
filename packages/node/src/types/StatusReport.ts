import type { Incarnation, Load, Resources } from '@rattanstep/core'
import type { OwnershipStatus } from '@rattanstep/ownership'
import type { AdmissionStatus } from '@rattanstep/policy'
import type { Series } from '@rattanstep/telemetry'

/** States of a node. */
export type NodeState = 'starting' | 'joining' | 'serving' | 'draining' | 'stopped'

/** What moves a node from state to state. */
export type NodeEvent = 'rules-known' | 'owners-known' | 'owners-lost' | 'drain' | 'stop'

/** Something that an operator may have to act on. */
export interface Problem {
  /** Stable identifier, such as `table-down`. */
  code: string
  what: string
  /** Milliseconds since it began; null when not known. */
  since: number | null
  /** What the system does by itself and what an operator can do. */
  advice: string
}

/** One class as the node sees it, with the rule and who asked for it. */
export interface ClassStatus {
  name: string
  priority: number
  askedBy: string
  line: number
  waiting: number
}

/** Everything that `status` shows. */
export interface StatusReport {
  node: string
  incarnation: Incarnation
  cell: string
  dataCentre: string
  state: NodeState
  /** Milliseconds since the process started. */
  uptime: number
  problems: Problem[]
  rules: { version: number }
  classes: ClassStatus[]
  ownership: OwnershipStatus
  admission: {
    load: Load
    /** Milliseconds without a lease; 0 while there is one. */
    lapsedFor: number
    workers: Array<{ worker: string, free: Resources, confirmed: boolean }>
    books: AdmissionStatus
  }
  fleet: { workers: number, leaving: number, listAge: number | null }
  front: { address: string, inFlight: number }
  metrics: Series[]
}
