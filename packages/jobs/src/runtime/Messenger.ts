import { rankNodes } from '@rattanstep/core'
import type { Incarnation, JobMessage } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import { OPERATIONS } from '../types/messages.js'
import type { MessageBody, Operation } from '../types/messages.js'
import { parseText } from '../utils/parseRow.js'

/** Handler of each operation. */
export type Handlers = { [Name in Operation]: (from: Incarnation, body: MessageBody<Name>) => void }

/** Sends the messages of the job subsystem, and validates and dispatches received ones. */
export class Messenger {
  private readonly context: Context
  private sentCount = 0

  /** @param context - network and log */
  constructor (context: Context) {
    this.context = context
  }

  /**
   * @param to - incarnation of the receiver
   * @param operation - name of the operation
   * @param body - body of the operation
   */
  send<Name extends Operation> (to: Incarnation, operation: Name, body: MessageBody<Name>): void {
    const id = `${this.context.self}#${this.sentCount++}`
    this.context.network.send(to, { kind: 'job', id, operation, body: JSON.stringify(body) })
  }

  /**
   * Notifies the nodes that drive jobs that tasks of these jobs have changed.
   *
   * @param jobs - identifiers of the jobs
   */
  notifyDrivers (jobs: Iterable<string>): void {
    const byDriver = new Map<Incarnation, string[]>()
    for (const job of new Set(jobs)) {
      const driver = driverOf(job, this.context.holders())
      if (driver === null) continue
      byDriver.set(driver, [...byDriver.get(driver) ?? [], job])
    }
    for (const [driver, changed] of byDriver) this.send(driver, 'changed', { jobs: changed })
  }

  /**
   * Calls the handler of a message. A message that does not match the schema of its operation is logged and dropped.
   *
   * @param from - incarnation of the sender
   * @param message - the received message
   * @param handlers - handler of each operation
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

  private handle<Name extends Operation> (from: Incarnation, message: JobMessage, name: Name, handler: (from: Incarnation, body: MessageBody<Name>) => void): void {
    const body = OPERATIONS[name].safeParse(parseText(message.body))
    if (body.success) handler(from, body.data as MessageBody<Name>)
    else this.reject(from, message)
  }

  private reject (from: Incarnation, message: JobMessage): void {
    this.context.log.write(EVENTS.badMessage, { from, operation: message.operation })
  }
}

/**
 * @param job - identifier of a job
 * @param holders - incarnations of the nodes that may drive jobs
 * @returns the node that drives the job, or `null` when there are no holders
 */
export function driverOf (job: string, holders: Incarnation[]): Incarnation | null {
  return rankNodes(job, holders)[0] ?? null
}
