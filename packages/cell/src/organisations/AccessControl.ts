import type { Metrics } from '@rattanstep/telemetry'
import { findRoute } from '../runtime/findRoute.js'
import type { Credential } from '../types/callers.js'
import type { Configuration, Organisation, Route } from '../types/configuration.js'
import { KeyIndex } from './KeyIndex.js'

/** Retry delay of a caller whose key may be in a newer configuration. It is in force by then, or other nodes know the key. */
const KEY_RETRY_AFTER_S = 1
const CONFIGURATION_RETRY_AFTER_S = 1

/** Whether a request is served; `retryAfter` in s. */
export type Admission =
  | { kind: 'admitted', configuration: Configuration, route: Route, organisation?: Organisation }
  | { kind: 'refused', status: 401 | 404 | 503, reason: string, retryAfter?: number }

/** What decides whether a request is served. */
export interface AccessRequest {
  host: string
  path: string
  credential: Credential
}

/** Decides by route and key whether requests are served, from the configuration of this node alone. */
export class AccessControl {
  private readonly keys = new KeyIndex()

  /** @param options - `isConfirmed`: returns whether a key that is not in the configuration is known to be in no newer one */
  constructor (private readonly options: { configuration: () => Configuration | undefined, isConfirmed: () => boolean, metrics: Metrics }) {}

  /**
   * A known key is served however old the configuration is, since an outage of the store must not end the service. An unknown one is refused for good
   * only by a confirmed configuration: its caller would give up, whereas after 503 the key is known or refused for good a moment later.
   */
  admit ({ host, path, credential }: AccessRequest): Admission {
    const { isConfirmed } = this.options
    const configuration = this.options.configuration()
    if (configuration === undefined) return this.refuse({ status: 503, reason: 'no configuration yet', retryAfter: CONFIGURATION_RETRY_AFTER_S })
    const route = findRoute(configuration, host, path)
    if (route === undefined) return this.refuse({ status: 404, reason: 'no such route' })
    const access = this.keys.authorize(configuration, route, credential)
    if (access.kind === 'granted') return { kind: 'admitted', configuration, route, organisation: access.organisation }
    if (access.reason !== 'unknown key' || isConfirmed()) return this.refuse({ status: 401, reason: access.reason })
    return this.refuse({ status: 503, reason: 'unknown key, and the configuration may be outdated', retryAfter: KEY_RETRY_AFTER_S })
  }

  private refuse (refusal: Omit<Extract<Admission, { kind: 'refused' }>, 'kind'>): Admission {
    this.options.metrics.counter('access_refusals', { status: String(refusal.status), reason: refusal.reason }).add(1)
    return { kind: 'refused', ...refusal }
  }
}
