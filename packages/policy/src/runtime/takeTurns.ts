/** Lowest weight that counts: one of 0 would leave the order undefined. */
const MIN_WEIGHT = 1e-6

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
 * @param options - organisations and costs of the items
 * @returns the items in order of their turns; of organisations with equal shares, the one whose item comes first
 */
export function takeTurns<Item> (items: Item[], { sharerOf, costOf, isPressing, limit = Infinity }: TurnOptions<Item>): Item[] {
  const flows = new Map<Sharer, Flow>()
  for (let index = 0; index < items.length; index++) {
    const sharer = sharerOf(items[index]!)
    const flow = flows.get(sharer)
    if (flow === undefined) {
      const weight = Math.max(MIN_WEIGHT, sharer.weight)
      flows.set(sharer, { weight, level: sharer.share / weight, indexes: [index], next: 0 })
    } else if (flow.indexes.length < limit) flow.indexes.push(index)
  }
  if (flows.size < 2) return items
  const active = [...flows.values()]
  const isListed = new Uint8Array(items.length)
  const pressing = isPressing === undefined ? [] : active.filter(({ indexes }) => isPressing(items[indexes[0]!]!))
  const ordered: Item[] = []
  while (active.length > 0 && ordered.length < limit) {
    const flow = pressing.shift() ?? findLowest(active)
    const index = flow.indexes[flow.next++]!
    isListed[index] = 1
    ordered.push(items[index]!)
    flow.level += costOf(items[index]!) / flow.weight
    if (flow.next === flow.indexes.length) active.splice(active.indexOf(flow), 1)
  }
  for (let index = 0; index < items.length; index++) if (isListed[index] === 0) ordered.push(items[index]!)
  return ordered
}

/** How items take turns. */
export interface TurnOptions<Item> {
  /** Returns the organisation of an item, the same object for all its items. */
  sharerOf: (item: Item) => Sharer
  /** Returns the dominant share of the capacity that an item needs. */
  costOf: (item: Item) => number
  /**
   * Returns whether an item has waited so long that it goes before the turns, if it is the first of its organisation. Without that, a small
   * organisation that runs one large item would wait until all others have caught up.
   */
  isPressing?: (item: Item) => boolean
  /** Number of items after which the rest follows in the order given. */
  limit?: number
}

/** Items of one organisation. */
interface Flow {
  weight: number
  /** Share that the organisation uses or has been given, for its weight. */
  level: number
  /** Places of its items among all. */
  indexes: number[]
  /** Number of items that are listed. */
  next: number
}

/** @returns the flow with the lowest level; of those with the same, the one whose next item comes first */
function findLowest (flows: Flow[]): Flow {
  let lowest = flows[0]!
  for (let index = 1; index < flows.length; index++) {
    const flow = flows[index]!
    if (flow.level < lowest.level || (flow.level === lowest.level && flow.indexes[flow.next]! < lowest.indexes[lowest.next]!)) lowest = flow
  }
  return lowest
}
