import type { Incarnation, ResourceKey } from '@rattanstep/core'
import type { MembershipState } from '../runtime/Membership.js'

/** What operators see of the ownership. Times are in ms before now. */
export interface OwnershipStatus {
  /** How this node stands towards the assignment. */
  state: MembershipState
  version: number
  voters: Incarnation[]
  nextVoters: Incarnation[] | null
  countsBy: Incarnation[]
  isHolder: boolean
  draining: boolean
  leaseLeft: number
  owned: ResourceKey[]
  unowned: ResourceKey[]
  /** How long something has been without an owner; null when all is owned. */
  unownedFor: number | null
  holders: Array<{ incarnation: Incarnation, dataCentre: string, draining: boolean, heardBefore: number | null }>
  /** Whether the table answered last and how long that has been so; null before the first answer. */
  table: { reachable: boolean, for: number } | null
}
