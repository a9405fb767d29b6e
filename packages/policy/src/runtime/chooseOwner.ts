import type { Incarnation, Load, Random } from '@rattanstep/core'

/** An owner that a front may send an ask to. */
export interface OwnerCandidate {
  incarnation: Incarnation
  load: Load
  /** Age of the load in ms. */
  age: number
  dataCentre: string
}

/** Options of `chooseOwner`. */
export interface OwnerOptions {
  owners: OwnerCandidate[]
  /** Priority of the request's class. */
  priority: number
  /** Data centre of the front. */
  dataCentre?: string
  /** The front's own node, whose load in `owners` is current. It is preferred while it has free slots. */
  self?: Incarnation
  /** Number of unanswered asks sent to each owner. */
  outstanding?: Map<Incarnation, number>
  random: Random
  /** Fraction of its slots that is added to the weight of every owner. */
  turnover?: number
  /** Owners that must not be chosen. */
  exclude?: ReadonlySet<Incarnation>
}

/** The chosen owner. */
export interface OwnerChoice {
  owner: Incarnation
  /** Why it was chosen: `own`, `drawn` or `shorter-wait`. */
  reason: string
  /** Number of owners that could be chosen. */
  candidates: number
}

/** Service time assumed for an owner that has not learned one yet. */
const DEFAULT_SERVICE_TIME_MS = 10

/** A node prefers itself only while more than this fraction of its slots is free; the rest is left to other fronts. */
const SELF_MIN_FREE_FRACTION = 0.04

/** Fraction of its slots added to an owner's weight, since a slot that was busy when the load was measured may be free now. */
const DEFAULT_TURNOVER = 0.3

/**
 * Chooses the owner to send an ask to. Two owners are drawn at random, in proportion to the slots that are free or may have
 * become free since their load was measured, so that fronts with the same outdated load do not all choose the same owner.
 * The one of the two with the shorter expected wait is chosen. The wait is estimated from the unanswered asks, because they
 * are more recent than the load.
 *
 * @param options - the owners, and the front's own state
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
