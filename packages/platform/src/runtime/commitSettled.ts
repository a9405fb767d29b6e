import type { Clock, Random, Row, Table, Transaction } from '@rattanstep/core'

/**
 * Final result of a transaction.
 * - `committed`: it took effect
 * - `conflict`: it did not take effect and never will
 * - `unavailable`: it did not take effect, and no attempt is still in flight
 * - `undecided`: it may have taken effect, or may still do so
 */
export type CommitResult =
  | { outcome: 'committed' }
  | { outcome: 'conflict', message: string }
  | { outcome: 'unavailable', message: string }
  | { outcome: 'undecided', message: string }

/** Options for retrying a transaction. */
export interface CommitOptions {
  clock: Clock
  random: Random
  /** Maximum number of attempts (default 5). */
  attempts?: number
  /** Delay in ms before the second attempt; it doubles with each further attempt (default 50). */
  backoff?: number
}

const DEFAULT_ATTEMPTS = 5
const DEFAULT_BACKOFF_MS = 50

/**
 * State of a transaction, as far as the rows read back show it.
 * - `applied`: a row carries its operation identifier
 * - `impossible`: it has not taken effect and its checks can no longer hold
 * - `open`: all its checks still hold, so it can be repeated
 * - `unclear`: the rows have changed since and do not show whether it took effect
 */
type TransactionState = 'applied' | 'impossible' | 'open' | 'unclear'

/**
 * Commits a transaction and resolves whether it took effect if an answer is lost: it reads the rows back and repeats
 * the same transaction. The checks of the transaction make repeating it idempotent, so each written row should also be
 * checked.
 *
 * @param table - table to change
 * @param transaction - the transaction; its operation identifier must be unique
 * @param options - clock, random source, number of attempts and delay
 * @returns the final result
 */
export async function commitSettled (table: Table, transaction: Transaction, options: CommitOptions): Promise<CommitResult> {
  const attempts = options.attempts ?? DEFAULT_ATTEMPTS
  let delay = options.backoff ?? DEFAULT_BACKOFF_MS
  let isAnswerLost = false
  let message = ''
  for (let attempt = 1; attempt <= attempts; attempt++) {
    const answer = await table.commit(transaction)
    if (answer.isOk()) return { outcome: 'committed' }
    message = answer.error.message
    // After a lost answer, a conflict may come from an earlier attempt of this transaction that took effect.
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

/** Reads the rows back; `null` means that the result is not known and the transaction should be repeated. */
async function readBack (table: Table, transaction: Transaction, message: string): Promise<CommitResult | null> {
  const keys = new Set([...transaction.checks, ...transaction.writes].map(entry => entry.key))
  const rows = await table.read([...keys])
  if (rows.isErr()) return null
  switch (determineState(transaction, rows.value)) {
    case 'applied': return { outcome: 'committed' }
    case 'impossible': return { outcome: 'conflict', message }
    case 'unclear': return { outcome: 'undecided', message: 'the answer was lost and the rows have been changed since, so it is not known whether the transaction took effect' }
    case 'open': return null
  }
}

function determineState (transaction: Transaction, rows: Row[]): TransactionState {
  if (rows.some(row => row.operation === transaction.operation)) return 'applied'
  const versions = new Map(rows.map(row => [row.key, row.version]))
  const isUnchanged = (check: { key: string, version: number }): boolean => (versions.get(check.key) ?? 0) === check.version
  if (transaction.checks.every(isUnchanged)) return 'open'
  const written = new Map(transaction.writes.map(write => [write.key, write.value]))
  // The transaction would have overwritten this row, so a row that still has its checked version proves that it did not take effect.
  const isOverwriteMissing = transaction.checks.some(check => check.version > 0 && written.has(check.key) && isUnchanged(check))
  return isOverwriteMissing ? 'impossible' : 'unclear'
}
