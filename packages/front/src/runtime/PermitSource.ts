import type { Ask, Ending, Grant, Incarnation, Refusal, Result } from '@rattanstep/core'

/** A grant, with what the front needs in order to use and report it. */
export interface Placement extends Grant {
  /** The node that gave the permit. */
  owner: Incarnation
  /** Why this owner was chosen. */
  reason: string
  /** The owners that were compared, each with its free slots and all its slots, for the log. */
  candidates: string[]
  /** Monotonic ms after which the permit must not be used for a dispatch. */
  validUntil: number
}

/** Source of the permits that give a request room on a worker. */
export abstract class PermitSource {
  /**
   * Asks for a permit to run one request on a worker.
   *
   * @param ask - what the request needs
   * @param signal - withdraws the ask when aborted
   * @returns the worker and its permit, or why the ask was refused
   */
  abstract acquire (ask: Ask, signal: AbortSignal): Promise<Result<Placement, Refusal>>

  /**
   * Gives a permit back.
   *
   * @param grant - the grant of the permit
   * @param ending - how the request ended
   * @param serviceTime - ms from dispatch to the end of the answer
   */
  abstract release (grant: Grant, ending: Ending, serviceTime: number): void
}
