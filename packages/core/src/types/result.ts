/**
 * Results in place of exceptions for failures that callers are expected to handle.
 */
export { Err, Ok } from 'ts-results-es'
export type { Result } from 'ts-results-es'
