import type { Instance } from '@rattanstep/core'

/** Which workers this node owns, as the ownership of the cell says. */
export abstract class WorkerOwnership {
  /**
   * Asked at the moment of each command to a worker.
   *
   * @param worker - identifier of a worker
   * @returns whether this node may act as its owner now
   */
  abstract owns (worker: string): boolean

  /** @returns the workers that this node owns now */
  abstract ownedWorkers (): Instance[]

  /** @returns every worker of the cell that is known, live or leaving; empty when not known */
  abstract cellWorkers (): Instance[]

  /**
   * Says whether nobody is left to look after a worker's tasks. It must be true only when the newest assignment gives the
   * worker to no node, its former owner can no longer act, and the platform's list has dropped it.
   *
   * @param worker - identifier of a worker
   * @returns whether the worker is gone (default: never)
   */
  isGone (worker: string): boolean {
    return worker === ''
  }

  /** @param callback - called when this node has become the owner of a worker */
  abstract onGained (callback: (worker: Instance) => void): void

  /** @param callback - called when this node no longer owns a worker */
  abstract onLost (callback: (worker: string) => void): void
}
