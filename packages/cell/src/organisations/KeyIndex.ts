import type { Credential } from '../types/callers.js'
import type { Configuration, Organisation, Route } from '../types/configuration.js'

/** Reason for which a caller may not use a route. */
export type DenialReason = 'no key' | 'malformed key' | 'unknown key'

/** Whether a caller may use a route, and for which organisation; `organisation` is absent where callers need no key. */
export type Access = { kind: 'granted', organisation?: Organisation } | { kind: 'denied', reason: DenialReason }

/** Finds organisations by their keys, with one lookup for each call. */
export class KeyIndex {
  private configuration: Configuration | undefined
  private readonly organisations = new Map<string, Organisation>()

  /**
   * @param configuration - configuration in force
   * @param route - route of the request
   * @param credential - what the caller presents
   * @returns whether the caller may use the route
   */
  authorize (configuration: Configuration, route: Route, credential: Credential): Access {
    if (configuration.organisations === undefined) return { kind: 'granted' }
    if (configuration !== this.configuration) this.update(configuration)
    switch (credential.kind) {
      case 'none': return route.allowsAnonymous === true ? { kind: 'granted' } : { kind: 'denied', reason: 'no key' }
      case 'malformed': return { kind: 'denied', reason: 'malformed key' }
      case 'key': {
        const organisation = this.organisations.get(credential.key)
        return organisation === undefined ? { kind: 'denied', reason: 'unknown key' } : { kind: 'granted', organisation }
      }
    }
  }

  private update (configuration: Configuration): void {
    this.configuration = configuration
    this.organisations.clear()
    for (const organisation of configuration.organisations ?? []) {
      for (const key of organisation.keys) this.organisations.set(key, organisation)
    }
  }
}
