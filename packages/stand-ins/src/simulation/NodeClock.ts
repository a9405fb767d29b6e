import { Clock } from '@rattanstep/core'
import type { Timer } from '@rattanstep/core'
import type { Simulation } from './Simulation.js'

/** Wall-clock ms at the start of a simulation. */
const START_WALL_TIME_MS = 1_800_000_000_000

/** Clock of one simulated process: it has a rate of its own, and its callbacks wait while the process is paused. */
export class NodeClock extends Clock {
  isPaused = false
  isDead = false
  private readonly pendingCallbacks: Array<() => void> = []
  private readonly simulation: Simulation
  private readonly rate: number
  private readonly offset: number

  /** @param options - event loop; rate against true time (default 1); monotonic ms at its start (default 0) */
  constructor (options: { simulation: Simulation, rate?: number, offset?: number }) {
    super()
    this.simulation = options.simulation
    this.rate = options.rate ?? 1
    this.offset = options.offset ?? 0
  }

  override now (): number {
    return this.offset + this.simulation.time * this.rate
  }

  override wall (): number {
    return START_WALL_TIME_MS + this.simulation.time
  }

  override schedule (delay: number, callback: () => void): Timer {
    let cancelled = false
    this.simulation.schedule(Math.max(0, delay) / this.rate, () => { this.run(() => { if (!cancelled) callback() }) })
    return { cancel: () => { cancelled = true } }
  }

  /**
   * Runs a callback of the process: now, after its pause, or never.
   *
   * @param callback - what to run
   */
  run (callback: () => void): void {
    if (this.isDead) return
    if (this.isPaused) this.pendingCallbacks.push(callback)
    else callback()
  }

  /** Ends the pause and runs what waited. */
  resume (): void {
    this.isPaused = false
    for (const callback of this.pendingCallbacks.splice(0)) callback()
  }

  /**
   * Lets a process hear of an answer only as long as it lives and runs.
   *
   * @param answer - an answer from outside the process
   * @returns the same, never settled once the process is dead
   */
  async whenRunning<T> (answer: Promise<T>): Promise<T> {
    const value = await answer
    return await new Promise(resolve => { this.run(() => { resolve(value) }) })
  }
}
