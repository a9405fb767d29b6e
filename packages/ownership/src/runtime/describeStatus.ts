import type { Clock, Holder, Incarnation } from '@rattanstep/core'
import type { OwnershipStatus } from '../types/OwnershipStatus.js'
import type { Coordinator } from './Coordinator.js'
import type { Follower } from './Follower.js'
import type { Heartbeats } from './Heartbeats.js'
import type { Knowledge } from './Knowledge.js'
import type { Lease } from './Lease.js'
import type { MembershipState } from './Membership.js'

/** What the status is taken from. */
export interface StatusSources {
  self: Holder
  state: MembershipState
  clock: Clock
  follower: Follower
  heartbeats: Heartbeats
  knowledge: Knowledge
  lease: Lease
  coordinator: Coordinator
  leaseLeft: number
}

/**
 * @param sources - what the status is taken from
 * @returns what operators see
 */
export function describeStatus (sources: StatusSources): OwnershipStatus {
  const { self, state, clock, follower, heartbeats, knowledge, lease, coordinator, leaseLeft } = sources
  const { version, voters, nextVoters, holders } = follower.assignment
  const now = clock.now()
  const { table } = coordinator
  const heardBefore = (holder: Incarnation): number | null => {
    if (holder === self.incarnation) return 0
    const at = heartbeats.lastHeard(holder)
    return at === -Infinity ? null : now - at
  }
  return {
    state,
    version,
    voters,
    nextVoters,
    countsBy: lease.countsBy,
    isHolder: holders.some(holder => holder.incarnation === self.incarnation),
    draining: self.draining,
    leaseLeft,
    owned: knowledge.owned(),
    unowned: knowledge.unowned(),
    unownedFor: knowledge.unownedSince === null ? null : now - knowledge.unownedSince,
    holders: holders.map(({ incarnation, dataCentre, draining }) =>
      ({ incarnation, dataCentre, draining, heardBefore: heardBefore(incarnation) })),
    table: table === null ? null : { reachable: table.is, for: now - table.since }
  }
}
