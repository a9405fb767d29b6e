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

/** A route as far as scheduling is concerned. */
export interface ScheduledRoute extends RouteTerms {
  name: string
}

/** A queue of jobs. */
export interface Route extends ScheduledRoute {
  host: string
  prefix: string
}

/** Configuration of the routes, as set by the operators. */
export interface Configuration {
  version: number
  routes: Route[]
  /** Maximum size of a submission's body in bytes. */
  maxBody: number
}
