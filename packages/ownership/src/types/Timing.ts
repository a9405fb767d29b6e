/** Periods of the protocol, in ms unless said otherwise. All nodes of a cell use the same lease. */
export interface Timing {
  /** Between two heartbeats. */
  heartbeat: number
  /** How long a voter's promise lasts on the voter's clock. */
  lease: number
  /** Part of the lease that a holder gives up, so that clocks may run at different rates. */
  margin: number
  /** Between two reads of the assignment row while something is unsettled. */
  pollInterval: number
  /** How long a resource is seen without an owner before it is claimed. */
  claimDelay: number
  /** Between the ranks of nodes that may all write the same change. */
  stagger: number
  /** Least time between two hand-overs that even out the shares. */
  rebalanceInterval: number
  /** How long a resource is missing from the list before its owner drops it. */
  dropDelay: number
  /** The most by which the platform's list may lag; voters that were never seen listed are not lost before. */
  maxListLag: number
  /** How long an answer of the table is waited for. */
  tableTimeout: number
  /** First and longest delay between tries while the table fails. */
  backoff: { initial: number, max: number }
  /** Nodes other than voters that a heartbeat goes to. */
  maxPeers: number
}
