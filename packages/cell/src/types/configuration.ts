/** Advice that a route's tasks need before they start. */
export interface AdviceTerms {
  /** ms a call takes apart from the workers named. */
  base: number
  /** ms a worker named. */
  perWorker: number
  /** ms that a ticket is valid. */
  validity: number
}

/** A queue of jobs. */
export interface Route {
  name: string
  host: string
  prefix: string
  /** Pool whose workers run its tasks. */
  service: string
  /** 0 is the most urgent. */
  priority: number
  /** Failed runs after which a task is given up. */
  maxAttempts: number
  /** The objective is this many times the longest chain of work ... */
  stretch: number
  /** ... and this many ms more. */
  latencyObjective: number
  advice?: AdviceTerms
}

/** What the operators have put in force. */
export interface Configuration {
  version: number
  routes: Route[]
  /** Largest body of a hand-in, bytes. */
  maxBody: number
}
