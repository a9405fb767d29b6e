/** Balance of retries that a class starts with, and the largest that it can accumulate. */
const MAX_BALANCE = 10

/**
 * Limits retries to a fraction of the first attempts, so that retries do not multiply the load while everything fails.
 */
export class RetryBudget {
  private readonly balances = new Map<string, number>()

  /**
   * Records a first attempt.
   *
   * @param className - class of the request
   * @param amount - retries allowed for each first attempt, from 0 to 1
   */
  deposit (className: string, amount: number): void {
    this.balances.set(className, Math.min(MAX_BALANCE, this.balanceOf(className) + amount))
  }

  /**
   * Takes one retry out of the budget, if there is one.
   *
   * @param className - class of the request
   * @returns whether the retry is allowed
   */
  tryWithdraw (className: string): boolean {
    const available = this.balanceOf(className)
    if (available < 1) return false
    this.balances.set(className, available - 1)
    return true
  }

  /**
   * @param className - class of a request
   * @returns whether a retry would be allowed now
   */
  isAvailable (className: string): boolean {
    return this.balanceOf(className) >= 1
  }

  private balanceOf (className: string): number {
    return this.balances.get(className) ?? MAX_BALANCE
  }
}
