import { rankNodes } from '@rattanstep/core'
import type { Incarnation, JobMessage } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import { OPERATIONS } from '../types/messages.js'
import type { Body, Operation } from '../types/messages.js'
import { parseText } from '../utils/parseRow.js'

/** What is done with each operation that arrives. */
export type Handlers = { [Name in Operation]: (from: Incarnation, body: Body<Name>) => void }

/** Sends and reads the messages of the job subsystem. */
export class Post {
  private readonly context: Context
  private sent = 0

  /** @param context - network and log */
  constructor (context: Context) {
    this.context = context
  }

  /**
   * @param to - the receiver
   * @param operation - what is asked or said
   * @param body - its content
   */
  send<Name extends Operation> (to: Incarnation, operation: Name, body: Body<Name>): void {
    const id = `${this.context.self}#${this.sent++}`
    this.context.network.send(to, { kind: 'job', id, operation, body: JSON.stringify(body) })
  }

  /**
   * Tells the nodes that drive jobs that something has happened to them.
   *
   * @param jobs - identifiers of the jobs
   */
  tellDrivers (jobs: Iterable<string>): void {
    const byDriver = new Map<Incarnation, string[]>()
    for (const job of new Set(jobs)) {
      const driver = driverOf(job, this.context.holders())
      if (driver === null) continue
      byDriver.set(driver, [...byDriver.get(driver) ?? [], job])
    }
    for (const [driver, changed] of byDriver) this.send(driver, 'changed', { jobs: changed })
  }

  /**
   * @param from - the sender
   * @param message - what arrived; one of a wrong shape is dropped
   * @param handlers - what to do
   */
  dispatch (from: Incarnation, message: JobMessage, handlers: Handlers): void {
    switch (message.operation) {
      case 'hold': return this.handle(from, message, 'hold', handlers.hold)
      case 'held': return this.handle(from, message, 'held', handlers.held)
      case 'release': return this.handle(from, message, 'release', handlers.release)
      case 'committed': return this.handle(from, message, 'committed', handlers.committed)
      case 'changed': return this.handle(from, message, 'changed', handlers.changed)
      case 'stirred': return this.handle(from, message, 'stirred', handlers.stirred)
      default: this.reject(from, message)
    }
  }

  private handle<Name extends Operation> (from: Incarnation, message: JobMessage, name: Name, handler: (from: Incarnation, body: Body<Name>) => void): void {
    const body = OPERATIONS[name].safeParse(parseText(message.body))
    if (body.success) handler(from, body.data as Body<Name>)
    else this.reject(from, message)
  }

  private reject (from: Incarnation, message: JobMessage): void {
    this.context.log.write(EVENTS.badMessage, { from, operation: message.operation })
  }
}

/**
 * @param job - identifier of a job
 * @param holders - nodes that may drive it
 * @returns the node that drives it, or `null` when there is none
 */
export function driverOf (job: string, holders: Incarnation[]): Incarnation | null {
  return rankNodes(job, holders)[0] ?? null
}
