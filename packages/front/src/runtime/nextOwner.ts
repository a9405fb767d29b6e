import type { Incarnation, Refusal, RefusalReason } from '@rattanstep/core'
import type { OwnerChoice } from '@rattanstep/policy'

/** Maximum number of owners that are asked after the first one for one attempt. */
const MAX_REDIRECTS = 3

/** Whether another owner may accept the ask although the refusal names none. */
const TRY_OTHER_OWNERS: Record<RefusalReason, boolean> = {
  'not-owner': true,
  draining: true,
  'no-worker': true,
  'never-fits': true,
  cancelled: true,
  // An owner that knows of room at another owner names it in `redirect`.
  patience: false,
  'queue-full': false,
  'caller-limit': false,
  'no-owner': false,
  quota: false
}

/**
 * Decides which owner to ask after a refusal.
 *
 * @param refused - refusal of the last owner
 * @param asked - the owners that were asked, and how many of them after the first
 * @param choose - chooses among the owners that have not been asked
 * @returns the next owner, or `null` when the refusal is final
 */
export function nextOwner (refused: Refusal, asked: { exclude: ReadonlySet<Incarnation>, redirects: number }, choose: () => OwnerChoice | null): OwnerChoice | null {
  if (asked.redirects >= MAX_REDIRECTS) return null
  if (refused.redirect !== '' && !asked.exclude.has(refused.redirect)) {
    return { owner: refused.redirect, reason: 'redirect', candidates: 1 }
  }
  return TRY_OTHER_OWNERS[refused.reason] ? choose() : null
}
