import type { ResourceKey } from '@rattanstep/core'

/**
 * What this node owns and has stopped admitting for. Once a hand-over may be on its way to the table, the
 * node admits nothing more at the version that it replaces, since the write may land late.
 */
export class Releases {
  private readonly wanted = new Set<ResourceKey>()
  private readonly pending = new Set<ResourceKey>()
  private uncertain = false

  /**
   * Stops admitting until the resources are handed over, through however many versions.
   *
   * @param resources - what to hand over
   */
  want (resources: Iterable<ResourceKey>): void {
    for (const resource of resources) this.wanted.add(resource)
  }

  /**
   * Stops admitting at the current version only.
   *
   * @param resources - what to hand over
   */
  try (resources: Iterable<ResourceKey>): void {
    for (const resource of resources) this.pending.add(resource)
  }

  /** Notes that a write with the current hand-overs may have landed unseen, or may land late. */
  doubt (): void {
    this.uncertain = true
  }

  /** Admits again what was tried only, unless a write with it may have landed or may land late. */
  undo (): void {
    if (!this.uncertain) this.pending.clear()
  }

  /**
   * Follows a newer version, at which no older write can land.
   *
   * @param owned - what this node owns at that version
   */
  adopt (owned: ReadonlySet<ResourceKey>): void {
    this.pending.clear()
    this.uncertain = false
    for (const resource of this.wanted) {
      if (!owned.has(resource)) this.wanted.delete(resource)
    }
  }

  /**
   * @param resource - a resource that this node owns
   * @returns whether it has stopped admitting for it
   */
  has (resource: ResourceKey): boolean {
    return this.wanted.has(resource) || this.pending.has(resource)
  }

  /** @returns whether anything waits to be handed over */
  isEmpty (): boolean {
    return this.wanted.size === 0 && this.pending.size === 0
  }
}
