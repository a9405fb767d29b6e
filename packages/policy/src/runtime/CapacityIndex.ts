/** Amounts that the index compares: slots, cores, memory, accelerators, connections, and slots open to long work. */
export type CapacityVector = [number, number, number, number, number, number]

const DIMENSIONS = 6

/** Tolerance for rounding errors in sums of fractional cores. */
const ROUNDING_TOLERANCE = 1e-9

/**
 * An index of capacity that finds workers with enough of every resource without visiting all of them: a tree whose inner
 * nodes hold the largest amount below them in each dimension.
 */
export class CapacityIndex {
  private leaves = 1
  private tree = new Float64Array(2 * DIMENSIONS).fill(-1)
  private readonly freePositions: number[] = []
  private nextPosition = 0

  /** @returns position of a new leaf */
  add (): number {
    const position = this.freePositions.pop() ?? this.nextPosition++
    if (position >= this.leaves) this.grow()
    return position
  }

  /** @param position - position of a leaf that is no longer needed */
  remove (position: number): void {
    this.block(position)
    this.freePositions.push(position)
  }

  /** @param position - position of a leaf that searches must not find */
  block (position: number): void {
    this.set(position, [-1, -1, -1, -1, -1, -1])
  }

  /**
   * Sets the capacity of a leaf.
   *
   * @param position - position of the leaf
   * @param capacity - its amounts
   */
  set (position: number, capacity: CapacityVector): void {
    let node = position + this.leaves
    for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
      this.tree[node * DIMENSIONS + dimension] = capacity[dimension]!
    }
    node >>= 1
    while (node >= 1) {
      if (!this.updateMaximum(node)) return
      node >>= 1
    }
  }

  /**
   * Finds leaves with enough capacity.
   *
   * @param need - amounts that a leaf must have at least
   * @param limit - maximum number of leaves
   * @param accept - returns whether the leaf at a position may be used
   * @returns positions in ascending order
   */
  find (need: CapacityVector, limit: number, accept: (position: number) => boolean): number[] {
    const found: number[] = []
    this.search(1, need, limit, accept, found)
    return found
  }

  private search (node: number, need: CapacityVector, limit: number, accept: (position: number) => boolean, found: number[]): void {
    if (found.length >= limit || !this.fits(node, need)) return
    if (node >= this.leaves) {
      const position = node - this.leaves
      if (accept(position)) found.push(position)
      return
    }
    this.search(2 * node, need, limit, accept, found)
    this.search(2 * node + 1, need, limit, accept, found)
  }

  private fits (node: number, need: CapacityVector): boolean {
    const start = node * DIMENSIONS
    for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
      if (need[dimension]! > this.tree[start + dimension]! + ROUNDING_TOLERANCE) return false
    }
    return true
  }

  private updateMaximum (node: number): boolean {
    let changed = false
    for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
      const left = this.tree[2 * node * DIMENSIONS + dimension]!
      const right = this.tree[(2 * node + 1) * DIMENSIONS + dimension]!
      const maximum = Math.max(left, right)
      if (this.tree[node * DIMENSIONS + dimension] === maximum) continue
      this.tree[node * DIMENSIONS + dimension] = maximum
      changed = true
    }
    return changed
  }

  private grow (): void {
    const before = this.tree
    const count = this.leaves
    this.leaves *= 2
    this.tree = new Float64Array(2 * this.leaves * DIMENSIONS).fill(-1)
    this.tree.set(before.subarray(count * DIMENSIONS), this.leaves * DIMENSIONS)
    for (let node = this.leaves - 1; node >= 1; node--) this.updateMaximum(node)
  }
}
