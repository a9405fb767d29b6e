import type { Incarnation, Random } from '@rattanstep/core'
import type { PeerLoad } from '../types/decision.js'

/** Milliseconds after which a peer's load says nothing. */
const LOAD_MAX_AGE_MS = 2000

interface PeerState {
  peer: PeerLoad
  /** When the load was made, in ms. */
  madeAt: number
  /** Free slots that this owner still sends asks to. */
  budget: number
}

/** What an owner knows of the other owners' load, for sending asks on. */
export class PeerSelector {
  private readonly states = new Map<Incarnation, PeerState>()
  private readonly random: Random

  /** @param options - `random`: spreads asks over peers */
  constructor (options: { random: Random }) {
    this.random = options.random
  }

  /**
   * Takes in the newest loads. Each owner uses its share of a peer's free slots, so that not all send to the same one.
   *
   * @param peers - loads of all other owners
   * @param now - ms
   */
  update (peers: PeerLoad[], now: number): void {
    const removed = new Set(this.states.keys())
    for (const peer of peers) {
      removed.delete(peer.incarnation)
      const madeAt = now - peer.age
      const known = this.states.get(peer.incarnation)
      if (known !== undefined && madeAt - known.madeAt < 1) continue
      const waiting = peer.load.waiting.reduce((sum, level) => sum + level.count, 0)
      const budget = Math.max(0, peer.load.free - waiting) / Math.max(1, peers.length)
      this.states.set(peer.incarnation, { peer, madeAt, budget })
    }
    for (const incarnation of removed) this.states.delete(incarnation)
  }

  /**
   * Draws a peer with free slots and takes one from its budget.
   *
   * @param now - ms
   * @returns the peer, or an empty string when none is known to have room
   */
  selectPeer (now: number): Incarnation {
    const open = [...this.states.values()].filter(state => now - state.madeAt < LOAD_MAX_AGE_MS && state.budget > 0)
    const total = open.reduce((sum, state) => sum + state.budget, 0)
    let left = this.random.next() * total
    for (const state of open) {
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
