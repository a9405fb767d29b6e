import { Clock } from '@rattanstep/core'
import type { Timer } from '@rattanstep/core'

/** Clock of a node that can die or freeze. Callbacks are dropped while the node is dead, and held back while it is frozen. */
export class NodeClock extends Clock {
  isDead = false
  private isFrozen = false
  private heldCallbacks: Array<() => void> = []
  /** ms that each callback takes; with more than 0, callbacks wait for each other, as on a small part of a processor. */
  callbackTime = 0
  private readonly waitingCallbacks: Array<() => void> = []

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
    else if (this.callbackTime > 0 || this.waitingCallbacks.length > 0) this.runInTurn(callback)
    else callback()
  }

  private runInTurn (callback: () => void): void {
    this.waitingCallbacks.push(callback)
    if (this.waitingCallbacks.length === 1) this.startNext()
  }

  private startNext (): void {
    this.inner.schedule(this.callbackTime, () => {
      const callback = this.waitingCallbacks[0]!
      if (this.isFrozen) this.heldCallbacks.push(callback)
      else if (!this.isDead) callback()
      this.waitingCallbacks.shift()
      if (this.waitingCallbacks.length > 0) this.startNext()
    })
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
