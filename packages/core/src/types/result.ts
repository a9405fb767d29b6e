/**
 * Results, used instead of exceptions for failures that the calling code is expected to handle.
 */
export { Err, Ok } from 'ts-results-es'
export type { Result } from 'ts-results-es'
