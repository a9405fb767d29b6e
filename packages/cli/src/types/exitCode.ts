/** What was asked for was done. */
export const EXIT_SUCCESS = 0

/** There are findings, or the node refused. */
export const EXIT_FAILURE = 1

/** The command line itself is wrong. */
export const EXIT_USAGE_ERROR = 2
