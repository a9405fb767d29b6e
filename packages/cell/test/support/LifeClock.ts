import { Clock } from '@rattanstep/core'
import type { Timer } from '@rattanstep/core'

/** A clock whose node can die or freeze: its callbacks are dropped or held back then. */
export class LifeClock extends Clock {
  dead = false
  private frozen = false
  private held: Array<() => void> = []

  constructor (private readonly inner: Clock) {
    super()
  }

  override now (): number {
    return this.inner.now()
  }

  override wall (): number {
    return this.inner.wall()
  }

  override schedule (delay: number, callback: () => void): Timer {
    return this.inner.schedule(delay, () => { this.run(callback) })
  }

  override scheduleImmediate (callback: () => void): void {
    this.inner.schedule(0, () => { this.run(callback) })
  }

  /** Runs a callback if the node lives, later if it is frozen. */
  run (callback: () => void): void {
    if (this.dead) return
    if (this.frozen) this.held.push(callback)
    else callback()
  }

  /** Passes an answer on only while the node lives. */
  async deliver<Value> (delay: number, make: () => Value): Promise<Value> {
    return await new Promise<Value>(resolve => { this.schedule(delay, () => { resolve(make()) }) })
  }

  freeze (): void {
    this.frozen = true
  }

  thaw (): void {
    this.frozen = false
    const held = this.held
    this.held = []
    for (const callback of held) this.run(callback)
  }
}
