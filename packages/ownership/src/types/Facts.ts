import type { Holder, Incarnation, ResourceKey } from '@rattanstep/core'

/** Which of the named sets of voters have lost their majority for good. */
export interface LostVoters {
  voters: boolean
  nextVoters: boolean
}

/** What a node knows when it plans a change of the assignment. */
export interface Facts {
  self: Holder
  /** Holders heard of within the last lease, with this node itself. */
  heard: ReadonlySet<Incarnation>
  /** Holders whose instance is leaving or no longer listed. */
  leaving: ReadonlySet<Incarnation>
  /** Holders whose instance was never seen listed: they keep what they have and are given nothing more. */
  unlisted: ReadonlySet<Incarnation>
  /** For each holder the voters that backed its removal at the current version. */
  votes: ReadonlyMap<Incarnation, ReadonlySet<Incarnation>>
  /** For each holder the voters it said, at the current version, that it counts by. */
  activeVoters: ReadonlyMap<Incarnation, readonly Incarnation[]>
  lost: LostVoters
  /** What should be owned; null when not known. */
  resources: readonly ResourceKey[] | null
  /** What this node owns at the current version and has stopped admitting for. */
  released: readonly ResourceKey[]
  /** Whether resources without an owner may be claimed now. */
  canClaim: boolean
  /** Whether a new version is wanted only to make votes void. */
  shouldVoidVotes: boolean
}
