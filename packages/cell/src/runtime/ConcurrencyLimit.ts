/** Runs a limited number of operations at the same time; further ones wait in the order in which they were added. */
export class ConcurrencyLimit {
  private running = 0
  private readonly waiting: Array<() => void> = []

  constructor (private readonly most: number) {}

  /** @returns the result of an operation, which runs once there is a place for it */
  async run<Value> (operation: () => Promise<Value>): Promise<Value> {
    if (this.running >= this.most) await new Promise<void>(resolve => { this.waiting.push(resolve) })
    else this.running++
    try {
      return await operation()
    } finally {
      // The place passes on to the next operation.
      const next = this.waiting.shift()
      if (next === undefined) this.running--
      else next()
    }
  }
}
