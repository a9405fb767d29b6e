/** Retries that a class has in hand when it starts, and the most it can save up. */
const MOST_SAVED = 10

/**
 * Limits retries to a part of the first attempts, so that retries do not multiply the load while everything fails.
 */
export class RetryBudget {
  private readonly saved = new Map<string, number>()

  /**
   * Notes a first attempt.
   *
   * @param className - class of the request
   * @param part - retries allowed for each first attempt, from 0 to 1
   */
  earn (className: string, part: number): void {
    this.saved.set(className, Math.min(MOST_SAVED, this.available(className) + part))
  }

  /**
   * Takes one retry out of the budget.
   *
   * @param className - class of the request
   * @returns whether the retry is allowed
   */
  spend (className: string): boolean {
    const available = this.available(className)
    if (available < 1) return false
    this.saved.set(className, available - 1)
    return true
  }

  /**
   * @param className - class of a request
   * @returns whether a retry would be allowed now
   */
  has (className: string): boolean {
    return this.available(className) >= 1
  }

  private available (className: string): number {
    return this.saved.get(className) ?? MOST_SAVED
  }
}
