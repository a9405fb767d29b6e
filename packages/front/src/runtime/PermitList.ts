import { workerResource } from '@rattanstep/core'
import type { Ask, Assignment, Clock, Grant, Incarnation, Permit } from '@rattanstep/core'

/** A permit in use. */
export interface HeldPermit {
  grant: Grant
  ask: Ask
  owner: Incarnation
  /** Earliest monotonic ms at which the owner can have granted the permit. */
  grantedAt: number
}

/** The permits that this front holds. */
export class PermitList {
  private readonly permits = new Map<string, HeldPermit>()

  constructor (private readonly clock: Clock, private readonly assignment: () => Assignment) {}

  /** Number of permits in use. */
  get size (): number {
    return this.permits.size
  }

  /**
   * @param permit - identifier of a permit
   * @returns whether it is in use
   */
  has (permit: string): boolean {
    return this.permits.has(permit)
  }

  /**
   * Adds a permit.
   *
   * @param permit - a permit that is in use from now on
   */
  add (permit: HeldPermit): void {
    this.permits.set(permit.grant.permit, permit)
  }

  /**
   * Removes a permit.
   *
   * @param permit - identifier of a permit that is given back
   * @returns the permit, or `undefined` when it was not in use
   */
  remove (permit: string): HeldPermit | undefined {
    const held = this.permits.get(permit)
    this.permits.delete(permit)
    return held
  }

  /** @returns all permits in use */
  all (): Permit[] {
    return [...this.permits.values()].map(held => this.toPermit(held))
  }

  /**
   * @param workers - identifiers of workers
   * @returns the permits in use at these workers
   */
  atWorkers (workers: ReadonlySet<string>): Permit[] {
    return [...this.permits.values()].filter(held => workers.has(held.grant.worker)).map(held => this.toPermit(held))
  }

  /** @returns the permits in use, grouped by the owner of their worker */
  byOwner (): Map<Incarnation, Permit[]> {
    const lists = new Map<Incarnation, Permit[]>()
    for (const held of this.permits.values()) {
      const owner = this.ownerOf(held)
      const list = lists.get(owner) ?? []
      list.push(this.toPermit(held))
      lists.set(owner, list)
    }
    return lists
  }

  /**
   * @param held - a permit in use
   * @returns the owner of its worker in the newest known assignment, or the node that gave the permit when there is none
   */
  ownerOf (held: HeldPermit): Incarnation {
    return this.assignment().owners[workerResource(held.grant.worker)] ?? held.owner
  }

  private toPermit ({ grant, ask, grantedAt }: HeldPermit): Permit {
    return {
      permit: grant.permit,
      worker: grant.worker,
      class: ask.class,
      caller: ask.caller,
      team: ask.team,
      resources: ask.resources,
      age: Math.max(0, this.clock.now() - grantedAt)
    }
  }
}
