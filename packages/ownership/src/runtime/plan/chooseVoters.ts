import type { Holder, Incarnation } from '@rattanstep/core'

/** Minimum number of nodes for each number of voters, in descending order. */
const VOTER_COUNTS = [
  { nodes: 15, voters: 7 },
  { nodes: 5, voters: 5 },
  { nodes: 3, voters: 3 },
  { nodes: 1, voters: 1 }
]

/**
 * @param nodes - number of nodes that can be voters
 * @returns how many of them should be voters
 */
export function voterCount (nodes: number): number {
  return VOTER_COUNTS.find(entry => nodes >= entry.nodes)?.voters ?? 0
}

/**
 * Chooses voters and spreads them over data centres. Current voters are preferred unless the spread suffers.
 *
 * @param holders - holders that can be voters
 * @param voters - current voters
 * @param usable - holders that may become voters; other holders may only stay voters
 * @returns the voters, sorted; fewer than `voterCount` when too few holders are usable
 */
export function chooseVoters (
  holders: readonly Holder[],
  voters: readonly Incarnation[],
  usable: ReadonlySet<Incarnation>
): Incarnation[] {
  const count = voterCount(holders.length)
  const maxPerDataCentre = Math.ceil(count / new Set(holders.map(holder => holder.dataCentre)).size)
  const eligible = holders.filter(holder => voters.includes(holder.incarnation) || usable.has(holder.incarnation))
  const ranked = sortCandidates(eligible, voters)
  const chosen: Holder[] = []
  for (const limit of [maxPerDataCentre, count]) {
    for (const holder of ranked) {
      if (chosen.length === count) break
      if (chosen.includes(holder)) continue
      if (chosen.filter(other => other.dataCentre === holder.dataCentre).length >= limit) continue
      chosen.push(holder)
    }
  }
  return chosen.map(holder => holder.incarnation).sort()
}

function sortCandidates (holders: readonly Holder[], voters: readonly Incarnation[]): Holder[] {
  const rank = (holder: Holder): number => voters.includes(holder.incarnation) ? 0 : 1
  return [...holders].sort((a, b) => rank(a) - rank(b) || (a.incarnation < b.incarnation ? -1 : 1))
}
