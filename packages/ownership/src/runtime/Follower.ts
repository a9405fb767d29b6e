import { EMPTY_ASSIGNMENT } from '@rattanstep/core'
import type { Assignment } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

/** Called when a newer assignment is followed. */
export type AssignmentListener = (assignment: Assignment, previous: Assignment) => void

/** Where an assignment was learned. */
export type AssignmentSource = 'table' | 'peer' | 'own write'

/** Keeps the newest known assignment. It never goes back to an older one. */
export class Follower {
  private newest: Assignment = EMPTY_ASSIGNMENT
  private readonly listeners: AssignmentListener[] = []
  private readonly log: Log
  private readonly self: string

  /** @param options - `log`: where changes are written; `self`: incarnation of this node */
  constructor (options: { log: Log, self: string }) {
    this.log = options.log
    this.self = options.self
  }

  /** The newest known assignment. */
  get assignment (): Assignment {
    return this.newest
  }

  /** @param listener - called after each change */
  onChange (listener: AssignmentListener): void {
    this.listeners.push(listener)
  }

  /**
   * @param assignment - an assignment that was written to the table
   * @param source - where it was learned
   * @returns whether it is newer than the one followed before
   */
  adopt (assignment: Assignment, source: AssignmentSource): boolean {
    const previous = this.newest
    if (assignment.version <= previous.version) return false
    this.newest = assignment
    const owned = Object.values(assignment.owners).filter(owner => owner === this.self).length
    const { version, voters } = assignment
    this.log.write(EVENTS.assignmentAdopted, { version, previous: previous.version, source, owned, voters })
    for (const listener of this.listeners) this.notifyListener(listener, assignment, previous)
    return true
  }

  private notifyListener (listener: AssignmentListener, assignment: Assignment, previous: Assignment): void {
    try {
      listener(assignment, previous)
    } catch (error) {
      this.log.write(EVENTS.listenerFailed, { error: String(error) })
    }
  }
}
