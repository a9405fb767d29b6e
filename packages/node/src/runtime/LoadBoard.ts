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
const LONGEST_AGE_MS = 3000

interface Entry {
  load: Load
  heardAt: number
}

/** What a load board is made of. */
export interface LoadBoardOptions {
  self: Incarnation
  clock: Clock
  /** This node's own load, always fresh. */
  own: () => Load
  assignment: () => Assignment
}

/** The newest load that each owner told with its heartbeats. */
export class LoadBoard {
  private readonly entries = new Map<Incarnation, Entry>()

  /** @param options - sources of loads and of the list of holders */
  constructor (private readonly options: LoadBoardOptions) {}

  /**
   * @param from - an owner
   * @param load - the load that it told
   */
  heard (from: Incarnation, load: Load): void {
    this.entries.set(from, { load, heardAt: this.options.clock.now() })
  }

  /** @returns owners that could give room now */
  owners (): OwnerLoad[] {
    const { assignment, clock, self, own } = this.options
    const owners: OwnerLoad[] = []
    for (const { incarnation, dataCentre, draining } of assignment().holders) {
      if (draining) continue
      const entry = incarnation === self ? { load: own(), heardAt: clock.now() } : this.entries.get(incarnation)
      if (entry === undefined) continue
      const age = clock.now() - entry.heardAt
      if (age > LONGEST_AGE_MS || entry.load.slots === 0) continue
      owners.push({ incarnation, dataCentre, age, load: entry.load })
    }
    return owners
  }

  /** @returns the other owners that could give room now */
  peers (): OwnerLoad[] {
    return this.owners().filter(owner => owner.incarnation !== this.options.self)
  }

  /** Forgets nodes that are no holders any more. */
  prune (): void {
    const holders = new Set(this.options.assignment().holders.map(holder => holder.incarnation))
    for (const incarnation of this.entries.keys()) {
      if (!holders.has(incarnation)) this.entries.delete(incarnation)
    }
  }
}
