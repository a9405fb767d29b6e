import type { Incarnation, Refusal, RefusalReason } from '@rattanstep/core'
import type { OwnerChoice } from '@rattanstep/policy'

/** Most owners that are asked after the first for one request. */
const MOST_MOVES = 3

/** What each refusal says about the other owners. */
const ELSEWHERE: Record<RefusalReason, 'any' | 'with-room' | 'none'> = {
  'not-owner': 'any',
  draining: 'any',
  'no-worker': 'any',
  'never-fits': 'any',
  cancelled: 'any',
  patience: 'with-room',
  'queue-full': 'with-room',
  'caller-limit': 'none',
  'no-owner': 'none',
  quota: 'none'
}

/**
 * Decides whom to ask after a refusal.
 *
 * @param refused - what the last owner said
 * @param asked - who has been asked, and how often the request moved
 * @param choose - chooses among the owners that have not been asked
 * @returns the next owner, or `null` when the refusal stands
 */
export function nextStep (refused: Refusal, asked: { exclude: ReadonlySet<Incarnation>, moves: number }, choose: () => OwnerChoice | null): OwnerChoice | null {
  if (asked.moves >= MOST_MOVES) return null
  if (refused.redirect !== '' && !asked.exclude.has(refused.redirect)) {
    return { owner: refused.redirect, reason: 'redirect', candidates: 1 }
  }
  const elsewhere = ELSEWHERE[refused.reason]
  if (elsewhere === 'none') return null
  const choice = choose()
  return elsewhere === 'any' || choice?.reason === 'free-slots' ? choice : null
}
