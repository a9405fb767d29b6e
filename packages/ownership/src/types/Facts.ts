import type { Holder, Incarnation, ResourceKey } from '@rattanstep/core'

/** Which voter sets of the assignment have lost their majority for good. */
export interface LostVoters {
  voters: boolean
  nextVoters: boolean
}

/** The facts that a node knows when it plans a change of the assignment. */
export interface Facts {
  self: Holder
  /** Nodes whose heartbeat arrived within the last lease, including this node. */
  heard: ReadonlySet<Incarnation>
  /** Holders whose instance was listed before, and is now leaving or no longer listed. */
  leaving: ReadonlySet<Incarnation>
  /** Holders whose instance was never seen listed: they keep their resources but are assigned no more. */
  unlisted: ReadonlySet<Incarnation>
  /** Voters whose instance is listed and runs no later process. */
  listed: ReadonlySet<Incarnation>
  /** For each holder, the voters that voted for its removal at the current version. */
  votes: ReadonlyMap<Incarnation, ReadonlySet<Incarnation>>
  /** For each holder, the voter set that its lease relies on, as it reported at the current version. */
  activeVoters: ReadonlyMap<Incarnation, readonly Incarnation[]>
  lost: LostVoters
  /** Resources that should have an owner; null when unknown. */
  resources: readonly ResourceKey[] | null
  /** Resources that this node owns at the current version and has stopped admitting for. */
  released: readonly ResourceKey[]
  /** Whether resources have been without an owner for long enough to be claimed. */
  canClaim: boolean
  /** Whether a new version should be written only to void the votes against a holder that is alive. */
  shouldVoidVotes: boolean
}
