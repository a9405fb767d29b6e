/** Median and range of a value over several seeds. */
export interface Spread {
  median: number
  low: number
  high: number
}

/**
 * @param values - numbers in any order
 * @param fraction - from 0 to 1
 * @returns the quantile, or 0 when there are no values
 */
export function quantile (values: ArrayLike<number>, fraction: number): number {
  if (values.length === 0) return 0
  const sorted = Float64Array.from(values).sort()
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))]!
}

/**
 * @param values - one value for each seed
 * @returns median, minimum and maximum
 */
export function spread (values: number[]): Spread {
  return { median: quantile(values, 0.5), low: Math.min(...values), high: Math.max(...values) }
}

/**
 * @param value - a spread
 * @param digits - digits after the decimal point
 * @returns the median, followed by the range when the values differ
 */
export function formatSpread (value: Spread, digits = 0): string {
  const [median, low, high] = [value.median, value.low, value.high].map(number => number.toFixed(digits))
  return low === high ? `${median}` : `${median} (${low}–${high})`
}
