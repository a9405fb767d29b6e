import type { Incarnation, Random } from '@rattanstep/core'
import type { PeerLoad } from '../types/decision.js'

/** Age from which a peer's load is no longer used. */
const LOAD_MAX_AGE_MS = 2000

/** Newest load of one peer. */
interface PeerState {
  peer: PeerLoad
  /** Monotonic time in ms at which the load was measured. */
  measuredAt: number
  /** Number of asks that this owner may still redirect to the peer on this load; can be fractional. */
  budget: number
}

/** Selects peers with free slots to redirect asks to, from the newest loads of the other owners. */
export class PeerSelector {
  private readonly states = new Map<Incarnation, PeerState>()
  private readonly random: Random

  /** @param options - `random`: source of randomness that spreads asks over the peers */
  constructor (options: { random: Random }) {
    this.random = options.random
  }

  /**
   * Applies the newest loads. Each owner uses only its share of a peer's free slots, so that the owners together do not
   * redirect more asks to a peer than it has free slots.
   *
   * @param peers - loads of all other owners
   * @param now - monotonic time in ms
   */
  update (peers: PeerLoad[], now: number): void {
    const removed = new Set(this.states.keys())
    for (const peer of peers) {
      removed.delete(peer.incarnation)
      const measuredAt = now - peer.age
      const known = this.states.get(peer.incarnation)
      if (known !== undefined && measuredAt - known.measuredAt < 1) continue
      const waiting = peer.load.waiting.reduce((sum, level) => sum + level.count, 0)
      const budget = Math.max(0, peer.load.free - waiting) / Math.max(1, peers.length)
      this.states.set(peer.incarnation, { peer, measuredAt, budget })
    }
    for (const incarnation of removed) this.states.delete(incarnation)
  }

  /**
   * Draws a peer at random, weighted by its remaining budget, and takes one slot from the budget. A budget below one slot
   * is used with that probability.
   *
   * @param now - monotonic time in ms
   * @returns the peer, or an empty string when none was drawn
   */
  selectPeer (now: number): Incarnation {
    const candidates = [...this.states.values()].filter(state => now - state.measuredAt < LOAD_MAX_AGE_MS && state.budget > 0)
    const total = candidates.reduce((sum, state) => sum + state.budget, 0)
    let left = this.random.next() * total
    for (const state of candidates) {
      left -= state.budget
      if (left >= 0) continue
      if (state.budget < 1 && this.random.next() >= state.budget) {
        state.budget = 0
        return ''
      }
      state.budget -= 1
      return state.peer.incarnation
    }
    return ''
  }
}
