import type { ResourceKey } from '@rattanstep/core'

/**
 * Resources that this node owns and has released, that is, stopped admitting for. Once a write that hands resources
 * over may have been sent to the table, the node must not admit for them again at the version that the write replaces,
 * since the write may take effect late.
 */
export class Releases {
  /** Resources that stay released until another version of the assignment takes them from this node. */
  private readonly untilHandedOver = new Set<ResourceKey>()
  /** Resources that are released at the current version only. */
  private readonly tentative = new Set<ResourceKey>()
  private hasUncertainWrite = false

  /**
   * Stops admitting until the resources are handed over, even if that takes several versions.
   *
   * @param resources - resources to hand over
   */
  add (resources: Iterable<ResourceKey>): void {
    for (const resource of resources) this.untilHandedOver.add(resource)
  }

  /**
   * Stops admitting at the current version only.
   *
   * @param resources - resources to hand over if the next write succeeds
   */
  addTentative (resources: Iterable<ResourceKey>): void {
    for (const resource of resources) this.tentative.add(resource)
  }

  /** Records that a write with the current hand-overs may have taken effect without an answer, or may still take effect. */
  markUncertain (): void {
    this.hasUncertainWrite = true
  }

  /** Admits for tentative resources again, unless a write that hands them over may have taken effect or may still do so. */
  revertTentative (): void {
    if (!this.hasUncertainWrite) this.tentative.clear()
  }

  /**
   * Adopts a newer version of the assignment, after which no older write can take effect.
   *
   * @param owned - resources that this node owns at that version
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

  /** @returns whether no resource is released */
  isEmpty (): boolean {
    return this.untilHandedOver.size === 0 && this.tentative.size === 0
  }
}
