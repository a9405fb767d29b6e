/**
 * The operators' rules after parsing: every default is filled in and every unit is converted.
 */

/**
 * Kind of work that a class is for. Requests arrive through routes, the other kinds through jobs. A gang starts all its
 * tasks at once; a service is kept running.
 */
export type WorkKind = 'request' | 'batch' | 'gang' | 'service'

/** How the cell schedules the work of one class. */
export interface ResolvedClass {
  name: string
  kind: WorkKind
  /** From 0 to 100; work with a higher priority starts first. */
  priority: number
  /** Share of all slots that is reserved for this class, from 0 to 1. */
  reserve: number
  /** Largest share of all slots that the class may use, from 0 to 1. */
  most: number
  /** How long work waits for free capacity before it is refused, in milliseconds. */
  patience: number
  /** How long one run may take before it is stopped, in milliseconds. */
  bound: number
  /** Weight by which classes of the same priority share the capacity. */
  weight: number
  /** Waiting time that raises the priority by one point, in milliseconds; 0 turns ageing off. */
  ageing: number
  /** Run time assumed until run times have been measured, in milliseconds. */
  expected: number
  /** Share of the class's requests that may be retried after a failure, from 0 to 1. */
  retries: number
  /** How far work of lower priority may be preempted so that work of this class starts, from not at all to being stopped. */
  preempts: 'nothing' | 'throttle' | 'checkpoint' | 'stop'
  /** The comment after the rule, which says who asked for it. */
  askedBy: string
  /** Line of the rule in the text, from 1. */
  line: number
}

/** Assigns requests to a class by path and method. The first route that matches a request applies. */
export interface ResolvedRoute {
  /** Path pattern: `*` matches one segment, `**` any number of segments. */
  path: string
  /** Method in upper case, or `*` for any. */
  method: string
  class: string
  /** Whether a request may be retried after a failure. */
  idempotent: boolean
  /** Processor cores that a request needs in addition to its slot. */
  cores: number
  /** Memory that a request needs, in MiB. */
  memory: number
  /** Number of accelerators that a request needs. */
  accelerators: number
  /** The comment after the rule, which says who asked for it. */
  askedBy: string
  /** Line of the rule in the text, from 1. */
  line: number
}

/** How much of the cell one team may use at once. */
export interface ResolvedTeam {
  name: string
  /** Largest share of all slots that the team may use, from 0 to 1. */
  most: number
  /** The comment after the rule, which says who asked for it. */
  askedBy: string
  /** Line of the rule in the text, from 1. */
  line: number
}

/** Limits that each node applies to its callers. */
export interface ResolvedLimits {
  /** Largest size of a request's header, in bytes. */
  header: number
  /** Largest size of a request's body, in bytes. */
  body: number
  /** Largest number of requests in flight at one node. */
  callers: number
  /** Largest number of requests of one caller that are in flight or waiting at one node. */
  perCaller: number
  /** How long a caller may take to send its header, in milliseconds. */
  headerTimeout: number
  /** How long a body transfer may stall before the request is aborted, in milliseconds. */
  idleTimeout: number
}

/** The contents of a rules file. */
export interface ResolvedRules {
  classes: ResolvedClass[]
  routes: ResolvedRoute[]
  teams: ResolvedTeam[]
  limits: ResolvedLimits
}
