/** Periods of the protocol, in ms unless stated otherwise. All nodes of a cell must use the same lease. */
export interface Timing {
  /** Interval between two heartbeats. */
  heartbeat: number
  /** Duration of a promise on the voter's clock. */
  lease: number
  /** Fraction of the lease that a holder gives up, because clocks may run at different rates. */
  margin: number
  /** Minimum interval between two polls of the assignment row. */
  pollInterval: number
  /** How long resources must be without an owner before they are claimed. */
  claimDelay: number
  /** Delay between the turns of nodes that may all write the same change. */
  stagger: number
  /** Minimum interval between two hand-overs that balance the shares. */
  rebalanceInterval: number
  /** How long a resource must be missing from the list before its owner drops it. */
  dropDelay: number
  /** Maximum lag of the platform's list; voters that were never seen listed do not count as lost earlier. */
  maxListLag: number
  /** Time-out of a call to the table. */
  tableTimeout: number
  /** Initial and maximum delay between attempts while the table fails. */
  backoff: { initial: number, max: number }
  /** Maximum number of holders, other than voters, that a heartbeat is sent to. */
  maxPeers: number
}
