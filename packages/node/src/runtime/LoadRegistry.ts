import type { Assignment, Clock, Incarnation, Load } from '@rattanstep/core'

/** What is known of one owner's load. */
export interface OwnerLoad {
  incarnation: Incarnation
  load: Load
  /** Milliseconds since the load was heard. */
  age: number
  dataCentre: string
}

/** Milliseconds after which a load says nothing any more. */
const MAX_LOAD_AGE_MS = 3000

interface LoadEntry {
  load: Load
  receivedAt: number
}

/** What a load board is made of. */
export interface LoadRegistryOptions {
  self: Incarnation
  clock: Clock
  /** This node's own load, always fresh. */
  ownLoad: () => Load
  assignment: () => Assignment
}

/** The newest load that each owner told with its heartbeats. */
export class LoadRegistry {
  private readonly entries = new Map<Incarnation, LoadEntry>()

  /** @param options - sources of loads and of the list of holders */
  constructor (private readonly options: LoadRegistryOptions) {}

  /**
   * @param from - an owner
   * @param load - the load that it told
   */
  update (from: Incarnation, load: Load): void {
    this.entries.set(from, { load, receivedAt: this.options.clock.now() })
  }

  /** @returns owners that could give room now */
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

  /** @returns the other owners that could give room now */
  availablePeers (): OwnerLoad[] {
    return this.availableOwners().filter(owner => owner.incarnation !== this.options.self)
  }

  /** Forgets nodes that are no holders any more. */
  prune (): void {
    const holders = new Set(this.options.assignment().holders.map(holder => holder.incarnation))
    for (const incarnation of this.entries.keys()) {
      if (!holders.has(incarnation)) this.entries.delete(incarnation)
    }
  }
}
