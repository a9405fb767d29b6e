import type { Instance, TaskLease, WorkerTimestamp, WorkerReport } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import type { Placement } from './Placement.js'

/**
 * Commands to one worker. Each is valid only for a short time after the report it is based on, on the worker's own clock:
 * one that is delayed on its way, or sent after a pause, has no effect.
 */
export class TaskCommands {
  private readonly context: Context
  private readonly worker: Instance
  private readonly mayAct: () => boolean
  private readonly validUntil: WorkerTimestamp | undefined
  private readonly madeAt: number

  /**
   * @param options - `report`: the worker's newest report; `receivedAt`: when it came; `mayAct`: whether this node
   * may still command the worker
   */
  constructor (options: { context: Context, worker: Instance, report: WorkerReport, receivedAt: number, mayAct: () => boolean }) {
    this.context = options.context
    this.worker = options.worker
    this.mayAct = options.mayAct
    this.madeAt = options.receivedAt
    const { moment, lag } = options.report
    if (moment !== undefined) this.validUntil = { epoch: moment.epoch, time: moment.time + lag + this.context.tuning.commandWindow }
  }

  /** @param placements - tasks whose leases are extended */
  async renew (placements: Placement[]): Promise<void> {
    if (placements.length === 0 || !this.claimSend(placements)) return
    const leases = placements.map(placement => this.lease(placement))
    const answer = await this.context.workers.renew(this.worker, leases)
    if (answer.isErr()) return
    const missing = new Set(answer.value)
    for (const placement of placements) {
      if (!missing.has(placement.name)) placement.confirmedAt ??= this.context.clock.now()
    }
  }

  /** @param placement - the task to start */
  async start (placement: Placement): Promise<void> {
    if (!this.claimSend([placement])) return
    const { command, resources } = placement.row
    const answer = await this.context.workers.start(this.worker, { ...this.lease(placement), command, resources, checkpoint: placement.checkpoint })
    if (answer.isOk()) placement.confirmedAt = this.context.clock.now()
    else if (answer.error.fault === 'refused') placement.refusals++
  }

  /**
   * Writes checkpoints and stops tasks.
   *
   * @param placements - tasks that are to leave the worker
   * @returns whether none of them runs any longer
   */
  async stop (placements: Placement[]): Promise<boolean> {
    if (placements.length === 0) return true
    await Promise.all(placements.filter(placement => placement.intent === 'vacate').map(async placement => { await this.save(placement) }))
    return await this.stopNames(placements.map(placement => ({ task: placement.name, fence: placement.row.fence })))
  }

  /**
   * @param tasks - names and fences
   * @returns whether none of them runs any longer
   */
  async stopNames (tasks: Array<{ task: string, fence: number }>): Promise<boolean> {
    if (tasks.length === 0) return true
    if (!this.mayAct()) return false
    return (await this.context.workers.stop(this.worker, tasks)).isOk()
  }

  private async save (placement: Placement): Promise<void> {
    if (!this.mayAct()) return
    const saved = await this.context.workers.checkpoint(this.worker, { task: placement.name, fence: placement.row.fence })
    if (saved.isOk()) placement.checkpoint = saved.value
  }

  /** Notes the latest time from which the command can take effect; a command without validity counts from now. */
  private claimSend (placements: Placement[]): boolean {
    if (!this.mayAct()) return false
    const now = this.context.clock.now()
    const sentAt = this.validUntil === undefined ? now : Math.max(this.madeAt, now)
    for (const placement of placements) placement.sentAt = sentAt
    return true
  }

  private lease (placement: Placement): TaskLease {
    const lease = { task: placement.name, fence: placement.row.fence, duration: this.context.tuning.lease }
    return this.validUntil === undefined ? lease : { ...lease, validUntil: this.validUntil }
  }
}
