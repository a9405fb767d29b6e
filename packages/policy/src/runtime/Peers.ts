import type { Incarnation, Random } from '@rattanstep/core'
import type { PeerLoad } from '../types/decision.js'

/** Milliseconds after which a peer's load says nothing. */
const STALE = 2000

interface View {
  peer: PeerLoad
  /** When the load was made, in ms. */
  madeAt: number
  /** Free slots that this owner still sends asks to. */
  budget: number
}

/** What an owner knows of the other owners' load, for sending asks on. */
export class Peers {
  private readonly views = new Map<Incarnation, View>()
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
    const gone = new Set(this.views.keys())
    for (const peer of peers) {
      gone.delete(peer.incarnation)
      const madeAt = now - peer.age
      const known = this.views.get(peer.incarnation)
      if (known !== undefined && madeAt - known.madeAt < 1) continue
      const waiting = peer.load.waiting.reduce((sum, level) => sum + level.count, 0)
      const budget = Math.max(0, peer.load.free - waiting) / Math.max(1, peers.length)
      this.views.set(peer.incarnation, { peer, madeAt, budget })
    }
    for (const incarnation of gone) this.views.delete(incarnation)
  }

  /**
   * Draws a peer with free slots and takes one from its budget.
   *
   * @param now - ms
   * @returns the peer, or an empty string when none is known to have room
   */
  take (now: number): Incarnation {
    const open = [...this.views.values()].filter(view => now - view.madeAt < STALE && view.budget > 0)
    const total = open.reduce((sum, view) => sum + view.budget, 0)
    let left = this.random.next() * total
    for (const view of open) {
      left -= view.budget
      if (left >= 0) continue
      if (view.budget < 1 && this.random.next() >= view.budget) {
        view.budget = 0
        return ''
      }
      view.budget -= 1
      return view.peer.incarnation
    }
    return ''
  }
}
