/** Milliseconds in each unit of time that the operators' text may use. */
const DURATION_UNITS: Record<string, number> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 }

/** Bytes in each unit of size that the operators' text may use. */
const SIZE_UNITS: Record<string, number> = { B: 1, KiB: 1024, MiB: 1024 ** 2, GiB: 1024 ** 3 }

/** Bytes in a MiB. */
export const BYTES_PER_MIB = 1024 ** 2

const QUANTITY = /^(\d{1,15}(?:\.\d{1,6})?)([A-Za-z%]*)$/

/**
 * @param text - such as `2s` or `250ms`
 * @returns milliseconds, or `null` when the text has no known unit of time
 */
export function parseDuration (text: string): number | null {
  return parseQuantity(text, DURATION_UNITS)
}

/**
 * @param text - such as `8KiB`
 * @returns bytes, or `null` when the text has no known unit of size
 */
export function parseSize (text: string): number | null {
  return parseQuantity(text, SIZE_UNITS)
}

/**
 * @param text - such as `10%`
 * @returns a part from 0 upwards, 1 being the whole, or `null` when the text is no percentage
 */
export function parsePercentage (text: string): number | null {
  return parseQuantity(text, { '%': 0.01 })
}

/**
 * @param text - a decimal number with no unit
 * @returns the number, or `null`
 */
export function parseDecimal (text: string): number | null {
  return parseQuantity(text, { '': 1 })
}

function parseQuantity (text: string, units: Record<string, number>): number | null {
  const match = QUANTITY.exec(text)
  if (match === null) return null
  const unit = match[2]!
  if (!Object.hasOwn(units, unit)) return null
  const number = Number(match[1])
  // Division keeps percentages such as 7% at the nearest representable value.
  return unit === '%' ? number / 100 : number * units[unit]!
}
