import type { Clock } from '@rattanstep/core'

/** Options of a batch. */
export interface BatchOptions<Item> {
  clock: Clock
  /** ms for which the first item waits for further ones. */
  delay: number
  /** Called with the collected items, of which there is at least one. */
  flush: (items: Item[]) => void
}

/** Collects items for a short time, so that they can be sent in one message. */
export class Batch<Item> {
  private items: Item[] = []

  constructor (private readonly options: BatchOptions<Item>) {}

  /** Adds an item to those that are flushed next. */
  add (item: Item): void {
    this.items.push(item)
    if (this.items.length > 1) return
    const { clock, delay, flush } = this.options
    clock.schedule(delay, () => {
      const { items } = this
      this.items = []
      flush(items)
    })
  }
}
