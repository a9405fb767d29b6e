import { Clock } from '@rattanstep/core'
import type { Timer } from '@rattanstep/core'

/** Clock of a node that can die or freeze. Callbacks are dropped while the node is dead, and held back while it is frozen. */
export class NodeClock extends Clock {
  isDead = false
  private isFrozen = false
  private heldCallbacks: Array<() => void> = []

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

  /** Runs a callback, unless the node is dead; if the node is frozen, the callback runs when the node thaws. */
  run (callback: () => void): void {
    if (this.isDead) return
    if (this.isFrozen) this.heldCallbacks.push(callback)
    else callback()
  }

  /** Resolves after a delay with the result that `make` then returns, unless the node is dead by then. */
  async deliver<Value> (delay: number, make: () => Value): Promise<Value> {
    return await new Promise<Value>(resolve => { this.schedule(delay, () => { resolve(make()) }) })
  }

  freeze (): void {
    this.isFrozen = true
  }

  thaw (): void {
    this.isFrozen = false
    const held = this.heldCallbacks
    this.heldCallbacks = []
    for (const callback of held) this.run(callback)
  }
}
