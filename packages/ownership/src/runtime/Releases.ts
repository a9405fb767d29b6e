import type { ResourceKey } from '@rattanstep/core'

/**
 * What this node owns and has stopped admitting for. Once a hand-over may be on its way to the table, the
 * node admits nothing more at the version that it replaces, since the write may land late.
 */
export class Releases {
  private readonly untilHandedOver = new Set<ResourceKey>()
  private readonly tentative = new Set<ResourceKey>()
  private hasUncertainWrite = false

  /**
   * Stops admitting until the resources are handed over, through however many versions.
   *
   * @param resources - what to hand over
   */
  add (resources: Iterable<ResourceKey>): void {
    for (const resource of resources) this.untilHandedOver.add(resource)
  }

  /**
   * Stops admitting at the current version only.
   *
   * @param resources - what to hand over
   */
  addTentative (resources: Iterable<ResourceKey>): void {
    for (const resource of resources) this.tentative.add(resource)
  }

  /** Notes that a write with the current hand-overs may have landed unseen, or may land late. */
  markUncertain (): void {
    this.hasUncertainWrite = true
  }

  /** Admits again what was tried only, unless a write with it may have landed or may land late. */
  revertTentative (): void {
    if (!this.hasUncertainWrite) this.tentative.clear()
  }

  /**
   * Follows a newer version, at which no older write can land.
   *
   * @param owned - what this node owns at that version
   */
  adopt (owned: ReadonlySet<ResourceKey>): void {
    this.tentative.clear()
    this.hasUncertainWrite = false
    for (const resource of this.untilHandedOver) {
      if (!owned.has(resource)) this.untilHandedOver.delete(resource)
    }
  }

  /**
   * @param resource - a resource that this node owns
   * @returns whether it has stopped admitting for it
   */
  has (resource: ResourceKey): boolean {
    return this.untilHandedOver.has(resource) || this.tentative.has(resource)
  }

  /** @returns whether anything waits to be handed over */
  isEmpty (): boolean {
    return this.untilHandedOver.size === 0 && this.tentative.size === 0
  }
}
