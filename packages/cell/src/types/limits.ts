/** Duration of a task lease: long enough for two takeovers of about 1.5 s each, and short enough that lost work restarts soon. */
export const LEASE_MS = 4000
/** Rate of the slowest worker clock relative to true time. The platform allows a deviation of 2 %; the other 1 % is a safety margin. */
export const MIN_CLOCK_RATE = 0.97
/** Added to the time until a lease counts as expired: covers the one-way delay of a link and timers that fire late. */
export const LEASE_MARGIN_MS = 150
/** Time for which a decider may renew leases after its term was last confirmed. Shorter store outages have no effect on running tasks. */
export const CONFIRMATION_WINDOW_MS = 2000
/** Longest time after which a call to a worker that got no answer may still be carried out, according to the platform. */
export const MAX_CALL_DELAY_MS = 12_000
/**
 * Increase of the fencing token from one term to the next. The tokens between count the incarnations of a worker that a decider has seen: calls for a
 * former one, which carry a lower token, are refused once the present one has seen its own.
 */
export const FENCE_STEP = 1000
/** Interval between commits of an idle decider. Followers take a term row that doesn't change as a sign that the decider is dead. */
export const IDLE_COMMIT_INTERVAL_MS = 200
/** Interval between heartbeats on the link of a follower that watches the decider. In normal operation, a heartbeat is delayed by at most 16 ms. */
export const LINK_HEARTBEAT_MS = 120
/** Time without any message after which the other end of such a link is suspected, unless it was late lately. In normal operation, no link is silent for 300 ms. */
export const LINK_TIMEOUT_MS = 400
/** Number of followers, first in the order of succession, that watch the decider. More would only add heartbeats. */
export const WATCHER_COUNT = 8
/** Interval between heartbeats of all other followers, so that the decider's load hardly grows with their number. */
export const DISTANT_HEARTBEAT_MS = 480
/** Ratio of the time after which the other end of a link is suspected to the interval between heartbeats. */
export const LINK_TIMEOUT_RATIO = LINK_TIMEOUT_MS / LINK_HEARTBEAT_MS
/** Delay between two reads of the term row of an unresponsive decider; longer than the interval between idle commits. */
export const TERM_RECHECK_DELAY_MS = 300
/** Additional delay of a claim for each place in the order of succession. */
export const SUCCESSION_STEP_MS = 150
/** Time without an answer from the store after which a decider offers its term to a follower. A long poll and its answer take less. */
export const STORE_TIMEOUT_MS = 1200
/** Time for which the store must refuse every call before a decider offers its term: unlike silence, a refusal is certain. */
export const STORE_REFUSAL_TIMEOUT_MS = 100
/** A follower qualifies as successor if the store answered it this much more recently than it answered the decider. */
export const STORE_ADVANTAGE_MS = 500
/** Duration of a transaction above which the store counts as slow; 8 to 13 ms are usual. */
export const SLOW_COMMIT_MS = 150
