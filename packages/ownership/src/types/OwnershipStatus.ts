import type { Incarnation, ResourceKey } from '@rattanstep/core'
import type { MembershipState } from '../runtime/Membership.js'

/** Status of the ownership for operators. Times are in ms, counted back from now. */
export interface OwnershipStatus {
  /** State of this node as a member of the cell. */
  state: MembershipState
  version: number
  voters: Incarnation[]
  nextVoters: Incarnation[] | null
  /** The voter set that this node's lease relies on. */
  countsBy: Incarnation[]
  isHolder: boolean
  draining: boolean
  /** ms until the lease of this node ends. */
  leaseLeft: number
  owned: ResourceKey[]
  unowned: ResourceKey[]
  /** How long at least one resource has been without an owner; null when all have one. */
  unownedFor: number | null
  holders: Array<{ incarnation: Incarnation, dataCentre: string, draining: boolean, heardBefore: number | null }>
  /** Whether the last call to the table succeeded and for how long that has been so; null before the first call ended. */
  table: { reachable: boolean, for: number } | null
}
