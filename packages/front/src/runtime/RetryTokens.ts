import type { ResolvedClass } from '@rattanstep/rules'

/** Most retries that a class may save up. */
const MOST_SAVED = 10

/** Keeps the retries of each class to a part of its requests. */
export class RetryTokens {
  private readonly saved = new Map<string, number>()

  /** @param work - class of a request that arrived */
  deposit (work: ResolvedClass): void {
    const saved = this.saved.get(work.name) ?? MOST_SAVED * work.retries
    this.saved.set(work.name, Math.min(MOST_SAVED, saved + work.retries))
  }

  /**
   * @param work - class of a request to repeat
   * @returns whether the budget allows it
   */
  take (work: ResolvedClass): boolean {
    const saved = this.saved.get(work.name) ?? 0
    if (saved < 1) return false
    this.saved.set(work.name, saved - 1)
    return true
  }
}
