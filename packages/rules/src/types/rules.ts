/**
 * The operators' rules after the resolve step: every value is set and every unit is known.
 */

/** What kind of work a class holds. */
export type WorkKind = 'request' | 'batch' | 'gang' | 'service'

/** How work of one class is treated. */
export interface ResolvedClass {
  name: string
  kind: WorkKind
  /** 0 to 100; higher goes first. */
  priority: number
  /** Part of all slots kept for this class, from 0 to 1. */
  reserve: number
  /** Most slots that the class may use, as a part of all, from 0 to 1. */
  most: number
  /** Milliseconds that work waits for room before it is refused. */
  patience: number
  /** Milliseconds that one run may take before it is cut off. */
  bound: number
  /** Share of the room among classes of the same priority. */
  weight: number
  /** Milliseconds of waiting that raise the priority by one point; 0 turns ageing off. */
  ageing: number
  /** Milliseconds that a run is expected to take until run times have been learned. */
  expected: number
  /** Part of the class's requests that may be repeated after a failure, from 0 to 1. */
  retries: number
  /** What lower work may suffer so that this class starts: nothing, or up to being stopped. */
  preempts: 'nothing' | 'throttle' | 'checkpoint' | 'stop'
  /** The comment behind the rule. */
  askedBy: string
  /** Line of the rule in the text, from 1. */
  line: number
}

/** Which requests belong to which class. The first route that matches counts. */
export interface ResolvedRoute {
  /** Path pattern: `*` is one segment, `**` any number. */
  path: string
  /** Method in capitals, or `*`. */
  method: string
  class: string
  /** Whether a request may be sent again after a failure. */
  idempotent: boolean
  /** What a request is declared to need beside its slot. */
  cores: number
  /** MiB. */
  memory: number
  accelerators: number
  askedBy: string
  line: number
}

/** How much of the cell one team may use at once. */
export interface ResolvedTeam {
  name: string
  /** Part of all slots, from 0 to 1. */
  most: number
  askedBy: string
  line: number
}

/** Limits on callers of one node. */
export interface ResolvedLimits {
  /** Most bytes of a request's header. */
  header: number
  /** Most bytes of a request's body. */
  body: number
  /** Most requests in flight at one node. */
  callers: number
  /** Most requests in flight or waiting of one caller at one node. */
  perCaller: number
  /** Milliseconds for a caller to send its header. */
  headerTimeout: number
  /** Milliseconds without a byte after which a body is given up. */
  idleTimeout: number
}

/** Everything that the operators' text says. */
export interface ResolvedRules {
  classes: ResolvedClass[]
  routes: ResolvedRoute[]
  teams: ResolvedTeam[]
  limits: ResolvedLimits
}
