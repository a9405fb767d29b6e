import type { Incarnation, Load, Resources } from '@rattanstep/core'
import type { OwnershipStatus } from '@rattanstep/ownership'
import type { AdmissionStatus } from '@rattanstep/policy'
import type { Series } from '@rattanstep/telemetry'

/** States of a node. */
export type NodeState = 'starting' | 'joining' | 'serving' | 'draining' | 'stopped'

/** Events that change the state of a node. */
export type NodeEvent = 'rules-known' | 'owners-known' | 'owners-lost' | 'drain' | 'stop'

/** A problem that an operator may have to act on. */
export interface Problem {
  /** Stable identifier, such as `table-down`. */
  code: string
  /** What is wrong, in one sentence. */
  what: string
  /** Milliseconds since the problem began; `null` if not known. */
  since: number | null
  /** What the system does automatically and what an operator can do. */
  advice: string
}

/** One class of the rules in force, with who asked for it and the number of waiting requests. */
export interface ClassStatus {
  name: string
  priority: number
  askedBy: string
  line: number
  waiting: number
}

/** Content of the `status` command. */
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
    /** Milliseconds since the lease lapsed; 0 while the node holds one. */
    lapsedFor: number
    workers: Array<{ worker: string, free: Resources, confirmed: boolean }>
    books: AdmissionStatus
  }
  fleet: { workers: number, leaving: number, listAge: number | null }
  front: { address: string, inFlight: number }
  metrics: Series[]
}
