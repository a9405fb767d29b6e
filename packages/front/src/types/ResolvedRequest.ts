import type { ResolvedClass, ResolvedLimits, ResolvedRoute } from '@rattanstep/rules'
import type { HeaderList } from './run.js'

/** A request whose head was checked and whose route and class were found in the rules. */
export interface ResolvedRequest {
  id: string
  method: string
  /** Path and query in origin form. */
  path: string
  headers: HeaderList
  class: ResolvedClass
  route: ResolvedRoute
  limits: ResolvedLimits
  /** Whether the request may be sent again after a failure. */
  idempotent: boolean
  /** Name by which the caller is counted and gets its fair share of the class. */
  caller: string
  /** Hash of the caller's credentials, or empty. A stored answer is sent only to callers with the same credentials. */
  credentials: string
  /** Team whose quota applies; empty when there is none. */
  team: string
  /** Milliseconds from arrival for which the caller waits for its complete answer. */
  timeout: number
  /** Idempotency key, or empty. */
  key: string
  /** Wall-clock ms at which the caller first sent the request; 0 when unknown. */
  firstSent: number
}
