/** The command succeeded. */
export const EXIT_SUCCESS = 0

/** The file has findings, or the node refused the request or could not be reached or started. */
export const EXIT_FAILURE = 1

/** The command line is wrong. */
export const EXIT_USAGE_ERROR = 2
