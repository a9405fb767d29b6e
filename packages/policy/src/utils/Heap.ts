/** An item of a heap. */
export interface HeapItem {
  /** Index in the heap's array; -1 while the item is in no heap. */
  heapIndex: number
}

/** A binary heap whose items can be removed and reordered in logarithmic time. */
export class Heap<T extends HeapItem> {
  private readonly items: T[] = []
  private readonly compare: (a: T, b: T) => number

  /** @param compare - negative when the first item comes before the second */
  constructor (compare: (a: T, b: T) => number) {
    this.compare = compare
  }

  /** @returns number of items */
  get size (): number {
    return this.items.length
  }

  /** @returns the first item, or `undefined` when the heap is empty */
  peek (): T | undefined {
    return this.items[0]
  }

  /** @param item - the item to add, which must not be in a heap */
  push (item: T): void {
    item.heapIndex = this.items.length
    this.items.push(item)
    this.siftUp(item)
  }

  /** @param item - the item to remove; ignored when it is not in the heap */
  remove (item: T): void {
    const index = item.heapIndex
    if (this.items[index] !== item) return
    item.heapIndex = -1
    const last = this.items.pop()!
    if (last === item) return
    this.items[index] = last
    last.heapIndex = index
    this.update(last)
  }

  /** @param item - an item of the heap that now compares differently */
  update (item: T): void {
    this.siftUp(item)
    this.siftDown(item)
  }

  /**
   * @param limit - maximum number of items
   * @returns the first items in order, without removing them
   */
  firstItems (limit: number): T[] {
    const found: T[] = []
    const frontier = this.items.length > 0 ? [this.items[0]!] : []
    while (found.length < limit && frontier.length > 0) {
      frontier.sort(this.compare)
      const item = frontier.shift()!
      found.push(item)
      for (const child of this.children(item)) frontier.push(child)
    }
    return found
  }

  private children (item: T): T[] {
    return this.items.slice(2 * item.heapIndex + 1, 2 * item.heapIndex + 3)
  }

  private siftUp (item: T): void {
    while (item.heapIndex > 0) {
      const parent = this.items[(item.heapIndex - 1) >>> 1]!
      if (this.compare(parent, item) <= 0) return
      this.swap(parent, item)
    }
  }

  private siftDown (item: T): void {
    while (true) {
      const left = this.items[2 * item.heapIndex + 1]
      const right = this.items[2 * item.heapIndex + 2]
      if (left === undefined) return
      const child = right !== undefined && this.compare(right, left) < 0 ? right : left
      if (this.compare(item, child) <= 0) return
      this.swap(item, child)
    }
  }

  private swap (a: T, b: T): void {
    const index = a.heapIndex
    a.heapIndex = b.heapIndex
    b.heapIndex = index
    this.items[a.heapIndex] = a
    this.items[b.heapIndex] = b
  }
}
