import type { Incarnation, Refusal, RefusalReason } from '@rattanstep/core'
import type { OwnerChoice } from '@rattanstep/policy'

/** Most owners that are asked after the first for one request. */
const MAX_REDIRECTS = 3

/** Whether a refusal leaves hope at an owner that it does not name. */
const TRY_OTHER_OWNERS: Record<RefusalReason, boolean> = {
  'not-owner': true,
  draining: true,
  'no-worker': true,
  'never-fits': true,
  cancelled: true,
  // An owner that knows of room elsewhere names the owner.
  patience: false,
  'queue-full': false,
  'caller-limit': false,
  'no-owner': false,
  quota: false
}

/**
 * Decides whom to ask after a refusal.
 *
 * @param refused - what the last owner said
 * @param asked - who has been asked, and how often the request moved
 * @param choose - chooses among the owners that have not been asked
 * @returns the next owner, or `null` when the refusal stands
 */
export function nextOwner (refused: Refusal, asked: { exclude: ReadonlySet<Incarnation>, redirects: number }, choose: () => OwnerChoice | null): OwnerChoice | null {
  if (asked.redirects >= MAX_REDIRECTS) return null
  if (refused.redirect !== '' && !asked.exclude.has(refused.redirect)) {
    return { owner: refused.redirect, reason: 'redirect', candidates: 1 }
  }
  return TRY_OTHER_OWNERS[refused.reason] ? choose() : null
}
