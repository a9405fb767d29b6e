import type { Instance, TaskLease, WorkerTimestamp, WorkerReport } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import type { Placement } from './Placement.js'

/**
 * Sends commands to one worker. Each command is valid only for a short time after the report that it is based on, measured
 * by the worker's own clock, so that a command that is delayed in transit or sent after a pause has no effect.
 */
export class TaskCommands {
  private readonly context: Context
  private readonly worker: Instance
  private readonly mayAct: () => boolean
  private readonly validUntil: WorkerTimestamp | undefined
  private readonly receivedAt: number

  /**
   * @param options - `report`: newest report of the worker; `receivedAt`: time at which the report arrived; `mayAct`: whether
   * this node may still send commands to the worker
   */
  constructor (options: { context: Context, worker: Instance, report: WorkerReport, receivedAt: number, mayAct: () => boolean }) {
    this.context = options.context
    this.worker = options.worker
    this.mayAct = options.mayAct
    this.receivedAt = options.receivedAt
    const { moment, lag } = options.report
    if (moment !== undefined) this.validUntil = { epoch: moment.epoch, time: moment.time + lag + this.context.tuning.commandValidity }
  }

  /** @param placements - tasks whose leases are renewed */
  async renew (placements: Placement[]): Promise<void> {
    if (placements.length === 0 || !this.recordSend(placements)) return
    const leases = placements.map(placement => this.makeLease(placement))
    const answer = await this.context.workers.renew(this.worker, leases)
    if (answer.isErr()) return
    const missing = new Set(answer.value)
    for (const placement of placements) {
      if (!missing.has(placement.name)) placement.confirmedAt ??= this.context.clock.now()
    }
  }

  /** @param placement - the task to start */
  async start (placement: Placement): Promise<void> {
    if (!this.recordSend([placement])) return
    const { command, resources } = placement.row
    const answer = await this.context.workers.start(this.worker, { ...this.makeLease(placement), command, resources, checkpoint: placement.checkpoint })
    if (answer.isOk()) placement.confirmedAt = this.context.clock.now()
    else if (answer.error.fault === 'refused') placement.refusals++
  }

  /**
   * Stops tasks. Tasks that are being vacated write a checkpoint first.
   *
   * @param placements - tasks to stop
   * @returns whether the worker confirmed that none of them runs any longer
   */
  async stop (placements: Placement[]): Promise<boolean> {
    if (placements.length === 0) return true
    await Promise.all(placements.filter(placement => placement.intent === 'vacate').map(async placement => { await this.saveCheckpoint(placement) }))
    return await this.stopTasks(placements.map(placement => ({ task: placement.name, fence: placement.row.fence })))
  }

  /**
   * @param tasks - names and fencing tokens of the tasks to stop
   * @returns whether the worker confirmed that none of them runs any longer
   */
  async stopTasks (tasks: Array<{ task: string, fence: number }>): Promise<boolean> {
    if (tasks.length === 0) return true
    if (!this.mayAct()) return false
    return (await this.context.workers.stop(this.worker, tasks)).isOk()
  }

  private async saveCheckpoint (placement: Placement): Promise<void> {
    if (!this.mayAct()) return
    const saved = await this.context.workers.checkpoint(this.worker, { task: placement.name, fence: placement.row.fence })
    if (saved.isOk()) placement.checkpoint = saved.value
  }

  /** Records the time from which the commands are counted: now or the arrival of the report, whichever is later; now if they have no validity limit. */
  private recordSend (placements: Placement[]): boolean {
    if (!this.mayAct()) return false
    const now = this.context.clock.now()
    const commandAt = this.validUntil === undefined ? now : Math.max(this.receivedAt, now)
    for (const placement of placements) placement.lastCommandAt = commandAt
    return true
  }

  private makeLease (placement: Placement): TaskLease {
    const lease = { task: placement.name, fence: placement.row.fence, duration: this.context.tuning.leaseDuration }
    return this.validUntil === undefined ? lease : { ...lease, validUntil: this.validUntil }
  }
}
