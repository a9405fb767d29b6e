/** Runs a limited number of operations at the same time; further ones wait in the order in which they were added. */
export class ConcurrencyLimit {
  private running = 0
  private readonly waiting: Array<() => void> = []

  /** @param most - returns the number of operations that may run at the same time; it is read when one is added and when one ends */
  constructor (private readonly most: () => number) {}

  /** @returns whether a further operation would wait */
  get isFull (): boolean {
    return this.running >= this.most()
  }

  /** @returns the result of an operation, which runs once there is a place for it */
  async run<Value> (operation: () => Promise<Value>): Promise<Value> {
    if (this.isFull) await new Promise<void>(resolve => { this.waiting.push(resolve) })
    else this.running++
    try {
      return await operation()
    } finally {
      this.running--
      while (this.waiting.length > 0 && !this.isFull) {
        this.running++
        this.waiting.shift()!()
      }
    }
  }
}
