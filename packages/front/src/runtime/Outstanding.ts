import type { Incarnation } from '@rattanstep/core'

/** One ask on its way to an owner or in its hands. */
export interface OutstandingAsk {
  owner: Incarnation
  at: number
  counted: boolean
}

interface Sent {
  asks: OutstandingAsk[]
  first: number
  live: number
}

/** Counts what each owner was asked for since its load was made, which its load cannot show yet. */
export class Outstanding {
  private readonly owners = new Map<Incarnation, Sent>()

  /**
   * Counts an ask in.
   *
   * @param owner - whom it goes to
   * @param now - monotonic ms
   * @returns a handle for `settle`
   */
  add (owner: Incarnation, now: number): OutstandingAsk {
    const ask = { owner, at: now, counted: true }
    const sent = this.owners.get(owner) ?? { asks: [], first: 0, live: 0 }
    this.owners.set(owner, sent)
    sent.asks.push(ask)
    sent.live++
    return ask
  }

  /**
   * Counts an ask out: it was refused, or its permit was given back.
   *
   * @param ask - what `add` returned
   */
  settle (ask: OutstandingAsk): void {
    if (!ask.counted) return
    ask.counted = false
    const sent = this.owners.get(ask.owner)
    if (sent !== undefined) sent.live--
  }

  /**
   * @param ages - for each owner, monotonic ms at which its load was made
   * @returns number of asks that each owner's load cannot show
   */
  count (ages: Map<Incarnation, number>): Map<Incarnation, number> {
    const counts = new Map<Incarnation, number>()
    for (const [owner, sent] of this.owners) {
      const since = ages.get(owner)
      if (since === undefined) this.owners.delete(owner)
      else counts.set(owner, prune(sent, since))
    }
    return counts
  }
}

/** Entries that may be dropped before the list is copied. */
const MOST_DROPPED = 1024

function prune (sent: Sent, since: number): number {
  for (let ask = sent.asks[sent.first]; ask !== undefined && ask.at < since; ask = sent.asks[sent.first]) {
    if (ask.counted) sent.live--
    ask.counted = false
    sent.first++
  }
  if (sent.first > MOST_DROPPED) {
    sent.asks.splice(0, sent.first)
    sent.first = 0
  }
  return sent.live
}
