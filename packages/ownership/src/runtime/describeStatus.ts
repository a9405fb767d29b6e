import type { Clock, Holder, Incarnation } from '@rattanstep/core'
import type { OwnershipStatus } from '../types/OwnershipStatus.js'
import type { Coordinator } from './Coordinator.js'
import type { Follower } from './Follower.js'
import type { Heartbeats } from './Heartbeats.js'
import type { Lease } from './Lease.js'
import type { LocalView } from './LocalView.js'
import type { MembershipState } from './Membership.js'

/** Sources of the status. */
export interface StatusSources {
  self: Holder
  state: MembershipState
  clock: Clock
  follower: Follower
  heartbeats: Heartbeats
  view: LocalView
  lease: Lease
  coordinator: Coordinator
  leaseLeft: number
}

/**
 * @param sources - the parts whose state is reported
 * @returns the status for operators
 */
export function describeStatus (sources: StatusSources): OwnershipStatus {
  const { self, state, clock, follower, heartbeats, view, lease, coordinator, leaseLeft } = sources
  const { version, voters, nextVoters, holders } = follower.assignment
  const now = clock.now()
  const { tableState } = coordinator
  const heardBefore = (holder: Incarnation): number | null => {
    if (holder === self.incarnation) return 0
    const heardAt = heartbeats.lastHeardAt(holder)
    return heardAt === -Infinity ? null : now - heardAt
  }
  return {
    state,
    version,
    voters,
    nextVoters,
    countsBy: lease.activeVoters,
    isHolder: holders.some(holder => holder.incarnation === self.incarnation),
    draining: self.draining,
    leaseLeft,
    owned: view.owned(),
    unowned: view.unowned(),
    unownedFor: view.unownedSince === null ? null : now - view.unownedSince,
    holders: holders.map(({ incarnation, dataCentre, draining }) =>
      ({ incarnation, dataCentre, draining, heardBefore: heardBefore(incarnation) })),
    table: tableState === null ? null : { reachable: tableState.isReachable, for: now - tableState.since }
  }
}
