import { Clock } from '@rattanstep/core'
import type { Timer } from '@rattanstep/core'
import type { Simulation } from './Simulation.js'

/** Wall-clock time at the start of a simulation. */
const START_WALL_TIME_MS = 1_800_000_000_000

/** Clock of one simulated process. It has its own rate, and its callbacks are deferred while the process is paused. */
export class NodeClock extends Clock {
  /** Whether callbacks are deferred until `resume`. */
  isPaused = false
  /** Whether the process has ended; its callbacks never run again. */
  isDead = false
  private readonly pendingCallbacks: Array<() => void> = []
  private readonly simulation: Simulation
  private readonly rate: number
  private readonly offset: number

  /**
   * @param options - `simulation`: event loop; `rate`: rate relative to simulated time (default 1);
   * `offset`: monotonic time at the start of the simulation, in ms (default 0)
   */
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
   * Runs a callback of the process: at once, after the pause if the process is paused, or never if it is dead.
   *
   * @param callback - what to run
   */
  run (callback: () => void): void {
    if (this.isDead) return
    if (this.isPaused) this.pendingCallbacks.push(callback)
    else callback()
  }

  /** Ends the pause and runs the deferred callbacks. */
  resume (): void {
    this.isPaused = false
    for (const callback of this.pendingCallbacks.splice(0)) callback()
  }

  /**
   * Defers an answer from outside the process while the process is paused.
   *
   * @param answer - the answer
   * @returns the same answer; never resolves if the process is dead when the answer arrives
   */
  async whenRunning<T> (answer: Promise<T>): Promise<T> {
    const value = await answer
    return await new Promise(resolve => { this.run(() => { resolve(value) }) })
  }
}
