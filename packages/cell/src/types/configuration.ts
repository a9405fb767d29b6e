import type { Size } from './job.js'

/** Cost and validity of the advice that a route's tasks need before they start. */
export interface AdviceTerms {
  /** Fixed duration of a call in ms, without the time for the workers named in it. */
  base: number
  /** Additional duration of a call in ms for each worker named in it. */
  perWorker: number
  /** ms for which a ticket is valid. */
  validity: number
}

/** Terms under which the jobs of a route are scheduled. */
export interface RouteTerms {
  /** Pool whose workers run the route's tasks. */
  service: string
  /** 0 is the highest priority. */
  priority: number
  /** Number of failed runs after which a task fails for good. */
  maxAttempts: number
  /** Factor in the objective, which is `stretch` times the longest chain of steps plus `latencyObjective`. */
  stretch: number
  /** Constant part of the objective in ms. */
  latencyObjective: number
  advice?: AdviceTerms
}

/** Share of a cell that an organisation may use. */
export interface OrganisationTerms {
  /** Share of the capacity relative to other organisations when all is in use, and number of jobs a second that the organisation may submit. */
  weight: number
  /** What the organisation may have running over all workers; 0 means no limit. */
  cap: Size
}

/** An organisation whose callers use the cell. */
export interface Organisation extends OrganisationTerms {
  name: string
  /** Keys that authenticate the organisation's callers. */
  keys: string[]
}

/** A route as far as scheduling is concerned. */
export interface ScheduledRoute extends RouteTerms {
  name: string
}

/** A queue of jobs. */
export interface Route extends ScheduledRoute {
  host: string
  prefix: string
  /** Whether callers need no key. It only matters if the configuration names organisations. */
  allowsAnonymous?: boolean
}

/** Configuration of the routes, as set by the operators. */
export interface Configuration {
  version: number
  routes: Route[]
  /** Maximum size of a submission's body in bytes. */
  maxBody: number
  /** Organisations that share the cell. Without any, callers need no keys. */
  organisations?: Organisation[]
}
