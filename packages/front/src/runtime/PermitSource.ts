import type { Ask, Ending, Grant, Incarnation, Refusal, Result } from '@rattanstep/core'

/** A grant with what the front has to know of it. */
export interface Placement extends Grant {
  /** The node that gave the permit. */
  owner: Incarnation
  /** Why this owner was asked. */
  reason: string
  /** The owners that were compared, each with its free and all slots, for the log. */
  candidates: string[]
  /** Monotonic ms after which the permit may not be used for a dispatch. */
  validUntil: number
}

/** Source of room on workers. */
export abstract class PermitSource {
  /**
   * Asks for room on one worker.
   *
   * @param ask - what is needed
   * @param signal - withdraws the ask
   * @returns the room, or why there is none
   */
  abstract acquire (ask: Ask, signal: AbortSignal): Promise<Result<Placement, Refusal>>

  /**
   * Gives room back.
   *
   * @param grant - what was given
   * @param ending - how the request ended
   * @param serviceTime - ms from dispatch to the end of the answer
   */
  abstract release (grant: Grant, ending: Ending, serviceTime: number): void
}
