import type { Clock, Resources, TaskReport, TaskStart, TaskState, Timer } from '@rattanstep/core'
import { parseCommand } from './command.js'

/** A task on a worker. Simulates its progress at a given speed and ends it when its lease expires. */
export class HostedTask {
  readonly task: string
  readonly fence: number
  readonly resources: Resources
  state: TaskState = 'running'
  checkpoint: string
  speed = 1
  private readonly clock: Clock
  private readonly outcome: 'done' | 'failed'
  private readonly onEnd: (task: HostedTask) => void
  private remainingWork: number
  private updatedAt: number
  private endTimer: Timer | null = null
  private leaseTimer: Timer | null = null

  /**
   * @param options - `start`: the start command; `savedWork`: work that a checkpoint has saved, in ms at full speed;
   * `onEnd`: called once, when the task ends
   */
  constructor (options: { clock: Clock, start: TaskStart, savedWork: number, onEnd: (task: HostedTask) => void }) {
    const command = parseCommand(options.start.command)
    this.clock = options.clock
    this.task = options.start.task
    this.fence = options.start.fence
    this.resources = options.start.resources
    this.checkpoint = options.start.checkpoint
    this.outcome = command.outcome
    this.onEnd = options.onEnd
    this.remainingWork = Math.max(0, command.work - options.savedWork)
    this.updatedAt = this.clock.now()
    this.totalWork = command.work
    this.scheduleEnd()
    this.extendLease(options.start.duration)
  }

  private readonly totalWork: number

  /** Work done so far, in ms at full speed; always 0 for a service. */
  get workDone (): number {
    this.updateRemainingWork()
    return this.totalWork === Infinity ? 0 : this.totalWork - this.remainingWork
  }

  /**
   * Renews the lease. The task is stopped when the lease expires.
   *
   * @param duration - ms from now until the lease expires
   */
  extendLease (duration: number): void {
    this.leaseTimer?.cancel()
    this.leaseTimer = this.clock.schedule(duration, () => { this.end('stopped') })
  }

  /**
   * Changes the speed of the task.
   *
   * @param speed - from 0 (paused) to 1 (full speed)
   */
  throttle (speed: number): void {
    this.updateRemainingWork()
    this.speed = speed
    this.scheduleEnd()
  }

  /**
   * Ends the task; a repeat has no effect.
   *
   * @param state - final state
   */
  end (state: TaskState): void {
    if (this.state !== 'running') return
    this.updateRemainingWork()
    this.state = state
    this.endTimer?.cancel()
    this.leaseTimer?.cancel()
    this.onEnd(this)
  }

  /** @returns the entry of this task in the worker's report; an ended task uses no resources */
  report (): TaskReport {
    const running = this.state === 'running'
    const usage = running ? this.resources : { slots: 0, cores: 0, memory: 0, accelerators: 0 }
    return { task: this.task, fence: this.fence, state: this.state, usage, speed: this.speed, checkpoint: this.checkpoint }
  }

  private updateRemainingWork (): void {
    const now = this.clock.now()
    this.remainingWork = Math.max(0, this.remainingWork - (now - this.updatedAt) * this.speed)
    this.updatedAt = now
  }

  private scheduleEnd (): void {
    this.endTimer?.cancel()
    this.endTimer = null
    if (this.speed === 0 || this.remainingWork === Infinity) return
    this.endTimer = this.clock.schedule(this.remainingWork / this.speed, () => { this.end(this.outcome) })
  }
}
