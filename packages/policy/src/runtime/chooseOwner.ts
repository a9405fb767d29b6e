import type { Incarnation, Load, Random } from '@rattanstep/core'

/** An owner as a front sees it. */
export interface OwnerView {
  incarnation: Incarnation
  load: Load
  /** Milliseconds since the load was made. */
  age: number
  dataCentre: string
}

/** What an owner is chosen by. */
export interface OwnerOptions {
  owners: OwnerView[]
  /** Priority of the request's class. */
  priority: number
  /** Data centre of the front. */
  dataCentre?: string
  /** Asks sent to each owner since its load was made, less those released. */
  outstanding?: Map<Incarnation, number>
  random: Random
  /** Owners that are not to be chosen again. */
  exclude?: ReadonlySet<Incarnation>
}

/** The owner to ask. */
export interface OwnerChoice {
  owner: Incarnation
  reason: string
  candidates: number
}

/** Service time in ms assumed of an owner that has learned none. */
const UNKNOWN_SERVICE = 10

/**
 * Chooses the owner to ask. Owners with free slots are drawn at random in proportion to these, so that fronts that
 * see the same old load do not all choose the same owner; when none has, the shorter wait of two random owners counts.
 *
 * @param options - what is known about owners
 * @returns the choice, or `null` when no owner has a worker
 */
export function chooseOwner (options: OwnerOptions): OwnerChoice | null {
  const owners = options.owners.filter(owner => owner.load.slots > 0 && options.exclude?.has(owner.incarnation) !== true)
  if (owners.length === 0) return null
  const free = owners.map(owner => freeSlots(owner, options))
  const total = free.reduce((sum, slots) => sum + slots, 0)
  if (total > 0) {
    const owner = draw(owners, free, total, options.random)
    return { owner: owner.incarnation, reason: 'free-slots', candidates: owners.length }
  }
  const slots = owners.map(owner => owner.load.slots)
  const sum = slots.reduce((a, b) => a + b, 0)
  const first = draw(owners, slots, sum, options.random)
  const second = draw(owners, slots, sum, options.random)
  const owner = expectedWait(first, options) <= expectedWait(second, options) ? first : second
  return { owner: owner.incarnation, reason: 'shorter-wait', candidates: owners.length }
}

function freeSlots (owner: OwnerView, options: OwnerOptions): number {
  const outstanding = options.outstanding?.get(owner.incarnation) ?? 0
  return Math.max(0, owner.load.free - waitingBefore(owner.load, options.priority) - outstanding)
}

function expectedWait (owner: OwnerView, options: OwnerOptions): number {
  const outstanding = options.outstanding?.get(owner.incarnation) ?? 0
  const service = owner.load.service > 0 ? owner.load.service : UNKNOWN_SERVICE
  const ahead = waitingBefore(owner.load, options.priority) + outstanding - owner.load.free
  return ahead * service / owner.load.slots
}

function waitingBefore (load: Load, priority: number): number {
  let count = 0
  for (const level of load.waiting) {
    if (level.priority >= priority) count += level.count
  }
  return count
}

function draw (owners: OwnerView[], weights: number[], total: number, random: Random): OwnerView {
  let left = random.next() * total
  for (let index = 0; index < owners.length; index++) {
    left -= weights[index]!
    if (left < 0) return owners[index]!
  }
  return owners[owners.length - 1]!
}
