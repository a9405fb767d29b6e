import type { Assignment, Clock, Incarnation, Load } from '@rattanstep/core'

/** Last known load of one owner. */
export interface OwnerLoad {
  incarnation: Incarnation
  load: Load
  /** Milliseconds since the load was received. */
  age: number
  dataCentre: string
}

/** A load that is older than this is ignored. */
const MAX_LOAD_AGE_MS = 3000

interface LoadEntry {
  load: Load
  receivedAt: number
}

/** Options of a load registry. */
export interface LoadRegistryOptions {
  self: Incarnation
  clock: Clock
  /** Current load of this node. */
  ownLoad: () => Load
  assignment: () => Assignment
}

/** Latest load of each owner, as reported in its heartbeats. */
export class LoadRegistry {
  private readonly entries = new Map<Incarnation, LoadEntry>()

  /** @param options - this node's load and the current assignment */
  constructor (private readonly options: LoadRegistryOptions) {}

  /**
   * Records the load that an owner reported.
   *
   * @param from - incarnation of the owner
   * @param load - its load
   */
  update (from: Incarnation, load: Load): void {
    this.entries.set(from, { load, receivedAt: this.options.clock.now() })
  }

  /** @returns owners with a recent load that are not draining and have slots */
  availableOwners (): OwnerLoad[] {
    const { assignment, clock, self, ownLoad } = this.options
    const owners: OwnerLoad[] = []
    for (const { incarnation, dataCentre, draining } of assignment().holders) {
      if (draining) continue
      const entry = incarnation === self ? { load: ownLoad(), receivedAt: clock.now() } : this.entries.get(incarnation)
      if (entry === undefined) continue
      const age = clock.now() - entry.receivedAt
      if (age > MAX_LOAD_AGE_MS || entry.load.slots === 0) continue
      owners.push({ incarnation, dataCentre, age, load: entry.load })
    }
    return owners
  }

  /** @returns the same owners without this node */
  availablePeers (): OwnerLoad[] {
    return this.availableOwners().filter(owner => owner.incarnation !== this.options.self)
  }

  /** Removes nodes that are no longer holders in the assignment. */
  prune (): void {
    const holders = new Set(this.options.assignment().holders.map(holder => holder.incarnation))
    for (const incarnation of this.entries.keys()) {
      if (!holders.has(incarnation)) this.entries.delete(incarnation)
    }
  }
}
