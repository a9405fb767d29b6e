import type { Instance } from '@rattanstep/core'

/** Which workers this node owns, according to the assignment of the cell. */
export abstract class WorkerOwnership {
  /**
   * Called immediately before each command to a worker.
   *
   * @param worker - identifier of a worker
   * @returns whether this node may act as its owner now
   */
  abstract owns (worker: string): boolean

  /** @returns the workers that this node owns at present */
  abstract ownedWorkers (): Instance[]

  /** @returns all known workers of the cell, live or leaving; empty when none are known */
  abstract cellWorkers (): Instance[]

  /**
   * Whether a worker is gone and no node is left to supervise its tasks. An implementation must return `true` only when the
   * newest assignment gives the worker to no node, its former owner can no longer act, and the platform no longer lists it.
   *
   * @param worker - identifier of a worker
   * @returns whether the worker is gone; the default implementation never reports a worker as gone
   */
  isGone (worker: string): boolean {
    return worker === ''
  }

  /** @param callback - called when this node comes to own a worker */
  abstract onGained (callback: (worker: Instance) => void): void

  /** @param callback - called when this node no longer owns a worker */
  abstract onLost (callback: (worker: string) => void): void
}
