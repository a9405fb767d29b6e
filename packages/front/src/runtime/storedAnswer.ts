import type { StoredAnswer } from '@rattanstep/core'

/**
 * Remembered answers and whose they are.
 */

/** Field of a remembered answer that holds the hash of the credentials it was given to. */
const CREDENTIALS_FIELD = 'rattanstep-credentials'

/**
 * @param answer - an answer to remember
 * @param credentials - hash of the caller's credentials, or empty
 * @returns the answer as it is remembered
 */
export function withCredentials (answer: StoredAnswer, credentials: string): StoredAnswer {
  return { ...withoutCredentials(answer), headers: [...withoutCredentials(answer).headers, [CREDENTIALS_FIELD, credentials]] }
}

/**
 * @param answer - a remembered answer
 * @param credentials - hash of the credentials of whoever asks again, or empty
 * @returns whether the answer was given to the same credentials
 */
export function isForCredentials (answer: StoredAnswer, credentials: string): boolean {
  return answer.headers.some(([name, value]) => name === CREDENTIALS_FIELD && value === credentials)
}

/**
 * @param answer - a remembered answer
 * @returns the answer as it goes to the caller
 */
export function withoutCredentials (answer: StoredAnswer): StoredAnswer {
  return { ...answer, headers: answer.headers.filter(([name]) => name !== CREDENTIALS_FIELD) }
}
