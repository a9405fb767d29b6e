import type { Grant, Incarnation, Network, Refusal } from '@rattanstep/core'

/** Collects the answers of one turn of the event loop, so that each front gets at most one message of each kind. */
export class Outbox {
  private readonly grants = new Map<Incarnation, Grant[]>()
  private readonly refusals = new Map<Incarnation, Refusal[]>()

  /** @param network - network that answers are sent over */
  constructor (private readonly network: Network) {}

  /**
   * @param front - receiver
   * @param grant - the grant
   */
  grant (front: Incarnation, grant: Grant): void {
    append(this.grants, front, grant)
  }

  /**
   * @param front - receiver
   * @param refusal - the refusal
   */
  refuse (front: Incarnation, refusal: Refusal): void {
    append(this.refusals, front, refusal)
  }

  /** Sends the collected answers. */
  flush (): void {
    for (const [front, grants] of this.grants) this.network.send(front, { kind: 'grant', grants })
    for (const [front, refusals] of this.refusals) this.network.send(front, { kind: 'refuse', refusals })
    this.grants.clear()
    this.refusals.clear()
  }
}

function append<T> (lists: Map<Incarnation, T[]>, front: Incarnation, item: T): void {
  const list = lists.get(front)
  if (list === undefined) lists.set(front, [item])
  else list.push(item)
}
