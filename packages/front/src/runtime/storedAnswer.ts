import type { StoredAnswer } from '@rattanstep/core'

/**
 * Stored answers carry a hash of the credentials of the caller that they were given to, so that no other caller gets them.
 */

/** Header field of a stored answer that holds the hash. It is never sent to a caller. */
const CREDENTIALS_FIELD = 'rattanstep-credentials'

/**
 * @param answer - an answer to store
 * @param credentials - hash of the caller's credentials; empty when there are none
 * @returns the answer with the hash
 */
export function withCredentials (answer: StoredAnswer, credentials: string): StoredAnswer {
  return { ...withoutCredentials(answer), headers: [...withoutCredentials(answer).headers, [CREDENTIALS_FIELD, credentials]] }
}

/**
 * @param answer - a stored answer
 * @param credentials - hash of the credentials of the caller that repeats the request; empty when there are none
 * @returns whether the answer was given to a caller with the same credentials
 */
export function isForCredentials (answer: StoredAnswer, credentials: string): boolean {
  return answer.headers.some(([name, value]) => name === CREDENTIALS_FIELD && value === credentials)
}

/**
 * @param answer - a stored answer
 * @returns the answer without the hash, as it is sent to the caller
 */
export function withoutCredentials (answer: StoredAnswer): StoredAnswer {
  return { ...answer, headers: answer.headers.filter(([name]) => name !== CREDENTIALS_FIELD) }
}
