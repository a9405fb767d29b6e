/** Length of a task lease in ms. Long enough for a takeover (about 1.5 s) twice over, short enough that lost work restarts soon. */
export const LEASE_MS = 4000
/** Slowest worker clock as a share of true time; the platform's pages allow 2 %, and 1 % is kept in hand. */
export const MIN_CLOCK_RATE = 0.97
/** ms added to every lease that is waited out: one way over a link, and a timer that fires late. */
export const LEASE_MARGIN_MS = 150
/** ms for which a decider may renew leases after its term was last confirmed; store outages shorter than this cost nothing. */
export const CONFIRMATION_WINDOW_MS = 2000
/** ms between commits of an idle decider; followers judge its life by them. */
export const IDLE_COMMIT_INTERVAL_MS = 200
/** ms between messages on a link without traffic; 16 ms was the worst delay seen on a calm day. */
export const LINK_HEARTBEAT_MS = 120
/** ms without any message after which a link is taken as dead; on calm days none was silent for 300 ms. */
export const LINK_TIMEOUT_MS = 400
/** ms between two looks at the term row of a silent decider; more than one idle commit. */
export const TERM_RECHECK_DELAY_MS = 300
/** ms by which each place in the line of successors waits longer. */
export const SUCCESSION_STEP_MS = 150
/** ms without an answer of the store after which a decider offers its term to others; a feed's wait and an answer are shorter. */
export const STORE_TIMEOUT_MS = 1200
/** ms by which the store must have answered a follower more lately than the decider. */
export const STORE_ADVANTAGE_MS = 500
/** ms of one transaction above which the store counts as slow; 8 to 13 ms are usual. */
export const SLOW_COMMIT_MS = 150
