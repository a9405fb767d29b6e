import type { Clock } from '@rattanstep/core'

/** Largest value of the last period or two, in constant memory. */
export class RecentMaximum {
  private present = 0
  private former = 0
  private startedAt: number

  /** @param options - `period`: ms for which a value is kept at least; it is gone after twice that time */
  constructor (private readonly options: { clock: Clock, period: number }) {
    this.startedAt = options.clock.now()
  }

  add (value: number): void {
    this.update()
    this.present = Math.max(this.present, value)
  }

  /** @returns the largest value, or 0 without any */
  get value (): number {
    this.update()
    return Math.max(this.present, this.former)
  }

  private update (): void {
    const { clock, period } = this.options
    const elapsed = clock.now() - this.startedAt
    if (elapsed < period) return
    this.former = elapsed < 2 * period ? this.present : 0
    this.present = 0
    this.startedAt = clock.now()
  }
}
