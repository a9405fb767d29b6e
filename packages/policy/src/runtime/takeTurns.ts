/** An organisation that takes turns with others. */
export interface Sharer {
  weight: number
  /** Dominant share of the capacity that its running tasks use. */
  share: number
}

/**
 * Orders items of several organisations so that the organisation with the lowest share for its weight is next. Each item counts as served when it is
 * listed, so that organisations alternate. No item is left out: a share that an organisation doesn't use falls to the others.
 *
 * @param items - items in order; those of the same organisation keep their order
 * @param options - `sharerOf`: returns the organisation of an item, the same object for all its items; `costOf`: returns the dominant share of the capacity that an item needs
 * @returns the items in order of their turns; of organisations with equal shares, the one whose item comes first
 */
export function takeTurns<Item> (items: Item[], { sharerOf, costOf }: { sharerOf: (item: Item) => Sharer, costOf: (item: Item) => number }): Item[] {
  const flows = new Map<Sharer, Flow>()
  items.forEach((item, index) => {
    const sharer = sharerOf(item)
    const flow = flows.get(sharer)
    if (flow === undefined) flows.set(sharer, { weight: sharer.weight, share: sharer.share, indexes: [index], next: 0 })
    else flow.indexes.push(index)
  })
  if (flows.size < 2) return items
  const active = [...flows.values()]
  const ordered: Item[] = []
  while (active.length > 0) {
    let first = 0
    for (let index = 1; index < active.length; index++) if (compareFlows(active[index]!, active[first]!) < 0) first = index
    const flow = active[first]!
    const item = items[flow.indexes[flow.next++]!]!
    ordered.push(item)
    flow.share += costOf(item)
    if (flow.next === flow.indexes.length) active.splice(first, 1)
  }
  return ordered
}

/** Items of one organisation. */
interface Flow extends Sharer {
  indexes: number[]
  /** Number of items that are listed. */
  next: number
}

function compareFlows (a: Flow, b: Flow): number {
  return a.share * b.weight - b.share * a.weight || a.indexes[a.next]! - b.indexes[b.next]!
}
