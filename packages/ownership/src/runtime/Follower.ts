import { EMPTY_ASSIGNMENT } from '@rattanstep/core'
import type { Assignment } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

/** Called with the adopted assignment and the one that it replaces. */
export type AssignmentListener = (assignment: Assignment, previous: Assignment) => void

/** Where an assignment came from. */
export type AssignmentSource = 'table' | 'peer' | 'own write'

/** Keeps the newest known assignment and notifies listeners of changes. Older assignments are ignored. */
export class Follower {
  private newest: Assignment = EMPTY_ASSIGNMENT
  private readonly listeners: AssignmentListener[] = []
  private readonly log: Log
  private readonly self: string

  /** @param options - `log`: log for adopted assignments; `self`: incarnation of this node */
  constructor (options: { log: Log, self: string }) {
    this.log = options.log
    this.self = options.self
  }

  /** The newest known assignment. */
  get assignment (): Assignment {
    return this.newest
  }

  /** @param listener - called after each adopted assignment; an error that it throws is logged and not passed on */
  onChange (listener: AssignmentListener): void {
    this.listeners.push(listener)
  }

  /**
   * Adopts an assignment if it is newer than the current one.
   *
   * @param assignment - an assignment that was written to the table
   * @param source - where it came from
   * @returns whether it was newer
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
