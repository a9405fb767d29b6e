import type { Clock, Random, Row, Table, Transaction } from '@rattanstep/core'

/**
 * What is known about a transaction in the end.
 * - `committed`: it took effect
 * - `conflict`: it did not and never will
 * - `unavailable`: it did not, and nothing of it is under way
 * - `undecided`: it may have taken effect, or may yet
 */
export type Settlement =
  | { outcome: 'committed' }
  | { outcome: 'conflict', message: string }
  | { outcome: 'unavailable', message: string }
  | { outcome: 'undecided', message: string }

/** How a transaction is repeated. */
export interface SettleOptions {
  clock: Clock
  random: Random
  /** Most times that the transaction is sent (default 5). */
  attempts?: number
  /** Milliseconds before the second attempt; doubles each time (default 50). */
  backoff?: number
}

const DEFAULT_ATTEMPTS = 5
const DEFAULT_BACKOFF_MS = 50

type TransactionState = 'applied' | 'impossible' | 'open' | 'unclear'

/**
 * Commits a transaction and finds out what became of it when an answer is lost: it reads back the rows and repeats
 * the same transaction, which its own checks make idempotent. Each written row ought to be checked too.
 *
 * @param table - where
 * @param transaction - what; its operation identifier must be unique
 * @param options - clock, random numbers and bounds
 * @returns what is known
 */
export async function commitSettled (table: Table, transaction: Transaction, options: SettleOptions): Promise<Settlement> {
  const attempts = options.attempts ?? DEFAULT_ATTEMPTS
  let delay = options.backoff ?? DEFAULT_BACKOFF_MS
  let isAnswerLost = false
  let message = ''
  for (let attempt = 1; attempt <= attempts; attempt++) {
    const answer = await table.commit(transaction)
    if (answer.isOk()) return { outcome: 'committed' }
    message = answer.error.message
    if (answer.error.fault === 'conflict' && !isAnswerLost) return { outcome: 'conflict', message }
    if (answer.error.fault !== 'unavailable') {
      isAnswerLost = true
      const settlement = await readBack(table, transaction, message)
      if (settlement !== null) return settlement
    }
    if (attempt === attempts) break
    await options.clock.sleep(options.random.jitter(delay))
    delay *= 2
  }
  return isAnswerLost ? { outcome: 'undecided', message } : { outcome: 'unavailable', message }
}

async function readBack (table: Table, transaction: Transaction, message: string): Promise<Settlement | null> {
  const keys = new Set([...transaction.checks, ...transaction.writes].map(entry => entry.key))
  const rows = await table.read([...keys])
  if (rows.isErr()) return null
  switch (determineState(transaction, rows.value)) {
    case 'applied': return { outcome: 'committed' }
    case 'impossible': return { outcome: 'conflict', message }
    case 'unclear': return { outcome: 'undecided', message: 'the rows were changed again after the answer was lost' }
    case 'open': return null
  }
}

function determineState (transaction: Transaction, rows: Row[]): TransactionState {
  if (rows.some(row => row.operation === transaction.operation)) return 'applied'
  const versions = new Map(rows.map(row => [row.key, row.version]))
  const isUnchanged = (check: { key: string, version: number }): boolean => (versions.get(check.key) ?? 0) === check.version
  if (transaction.checks.every(isUnchanged)) return 'open'
  const written = new Map(transaction.writes.map(write => [write.key, write.value]))
  const isOverwriteMissing = transaction.checks.some(check => check.version > 0 && written.has(check.key) && isUnchanged(check))
  return isOverwriteMissing ? 'impossible' : 'unclear'
}
