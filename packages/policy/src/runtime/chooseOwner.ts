import type { Incarnation, Load, Random } from '@rattanstep/core'

/** An owner as a front sees it. */
export interface OwnerCandidate {
  incarnation: Incarnation
  load: Load
  /** Milliseconds since the load was made. */
  age: number
  dataCentre: string
}

/** What an owner is chosen by. */
export interface OwnerOptions {
  owners: OwnerCandidate[]
  /** Priority of the request's class. */
  priority: number
  /** Data centre of the front. */
  dataCentre?: string
  /** The front's own node, whose load among `owners` is of now. It is preferred while it has free slots. */
  self?: Incarnation
  /** Asks sent to each owner that it has not answered yet. */
  outstanding?: Map<Incarnation, number>
  random: Random
  /** Part of its slots that every owner keeps as weight. */
  turnover?: number
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
const DEFAULT_SERVICE_TIME_MS = 10

/** Part of its own slots that must be free for a node to prefer itself; the rest is left to other fronts. */
const SELF_MIN_FREE_FRACTION = 0.04

/** Part of its slots that every owner keeps as weight, since a slot that is busy in an old load may be free by now. */
const DEFAULT_TURNOVER = 0.3

/**
 * Chooses the owner to ask. Two owners are drawn at random, in proportion to the slots that are free or may have become
 * free since their load was made, so that fronts that see the same old load do not all choose the same owner. Of the two
 * the one with the shorter expected wait is chosen; asks that an owner has not answered are the newest sign of its queue.
 *
 * @param options - what is known about owners
 * @returns the choice, or `null` when no owner has a worker
 */
export function chooseOwner (options: OwnerOptions): OwnerChoice | null {
  const owners = options.owners.filter(owner => owner.load.slots > 0 && options.exclude?.has(owner.incarnation) !== true)
  if (owners.length === 0) return null
  const own = owners.find(owner => owner.incarnation === options.self)
  if (own !== undefined && hasFreeCapacity(own, options)) return { owner: own.incarnation, reason: 'own', candidates: owners.length }
  const turnover = options.turnover ?? DEFAULT_TURNOVER
  const weights = owners.map(owner => Math.max(0, owner.load.free) + turnover * owner.load.slots)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const first = drawByWeight(owners, weights, total, options.random)
  const second = drawByWeight(owners, weights, total, options.random)
  const owner = expectedWait(first, options) <= expectedWait(second, options) ? first : second
  return { owner: owner.incarnation, reason: owner === first ? 'drawn' : 'shorter-wait', candidates: owners.length }
}

function hasFreeCapacity (own: OwnerCandidate, options: OwnerOptions): boolean {
  const unanswered = options.outstanding?.get(own.incarnation) ?? 0
  return own.load.waiting.length === 0 && own.load.free - unanswered > SELF_MIN_FREE_FRACTION * own.load.slots
}

function expectedWait (owner: OwnerCandidate, options: OwnerOptions): number {
  const unanswered = options.outstanding?.get(owner.incarnation) ?? 0
  const service = owner.load.service > 0 ? owner.load.service : DEFAULT_SERVICE_TIME_MS
  return unanswered * service / owner.load.slots
}

function drawByWeight (owners: OwnerCandidate[], weights: number[], total: number, random: Random): OwnerCandidate {
  let left = random.next() * total
  for (let index = 0; index < owners.length; index++) {
    left -= weights[index]!
    if (left < 0) return owners[index]!
  }
  return owners[owners.length - 1]!
}
