import { Clock } from '@rattanstep/core'
import type { Timer } from '@rattanstep/core'
import type { Simulation } from './Simulation.js'

/** Clock of one process: it has a rate of its own, and its callbacks wait while the process is paused. */
export class NodeClock extends Clock {
  paused = false
  dead = false
  private readonly held: Array<() => void> = []

  constructor (private readonly simulation: Simulation, private readonly rate: number, private readonly offset: number) {
    super()
  }

  override now (): number {
    return this.offset + this.simulation.time * this.rate
  }

  override wall (): number {
    return 1_800_000_000_000 + this.simulation.time
  }

  override schedule (delay: number, callback: () => void): Timer {
    let cancelled = false
    this.simulation.schedule(Math.max(0, delay) / this.rate, () => { this.run(() => { if (!cancelled) callback() }) })
    return { cancel: () => { cancelled = true } }
  }

  /** Runs a callback of the process: now, after its pause, or never. */
  run (callback: () => void): void {
    if (this.dead) return
    if (this.paused) this.held.push(callback)
    else callback()
  }

  resume (): void {
    this.paused = false
    for (const callback of this.held.splice(0)) callback()
  }
}
