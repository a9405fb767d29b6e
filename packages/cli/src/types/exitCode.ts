/** What was asked for was done. */
export const EXIT_FINE = 0

/** There are findings, or the node refused. */
export const EXIT_REFUSED = 1

/** The command line itself is wrong. */
export const EXIT_MISUSE = 2
