import type { ResolvedClass, ResolvedLimits, ResolvedRoute } from '@rattanstep/rules'
import type { HeaderList } from './run.js'

/** One request after its head was checked against the rules. */
export interface ResolvedRequest {
  id: string
  method: string
  /** Path with query, in origin form. */
  path: string
  headers: HeaderList
  class: ResolvedClass
  route: ResolvedRoute
  limits: ResolvedLimits
  /** Whether it may be sent again after a failure. */
  idempotent: boolean
  /** Whoever shares a fair part of the class. */
  caller: string
  /** Hash of the caller's credentials, or empty; a remembered answer is repeated to the same credentials only. */
  credentials: string
  /** Team whose quota applies; empty when there is none. */
  team: string
  /** Milliseconds from arrival that the caller waits for its whole answer. */
  timeout: number
  /** Idempotency key, or empty. */
  key: string
  /** Wall-clock ms at which the caller first sent the request; 0 when not known. */
  firstSent: number
}
