/** Milliseconds in each unit of time that files may use. */
const DURATION_UNITS: Record<string, number> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 }

/** Bytes in each unit of size that files may use. */
const SIZE_UNITS: Record<string, number> = { B: 1, KiB: 1024, MiB: 1024 ** 2, GiB: 1024 ** 3 }

export const BYTES_PER_MIB = 1024 ** 2

const QUANTITY = /^(\d{1,15}(?:\.\d{1,6})?)([A-Za-z%]*)$/

/**
 * @param text - such as `2s` or `250ms`
 * @returns milliseconds, or `null` if the text is not a number with a known unit of time
 */
export function parseDuration (text: string): number | null {
  return parseQuantity(text, DURATION_UNITS)
}

/**
 * @param text - such as `8KiB`
 * @returns bytes, or `null` if the text is not a number with a known unit of size
 */
export function parseSize (text: string): number | null {
  return parseQuantity(text, SIZE_UNITS)
}

/**
 * @param text - such as `10%`
 * @returns the fraction, where 100% is 1, or `null` if the text is not a percentage
 */
export function parsePercentage (text: string): number | null {
  return parseQuantity(text, { '%': 0.01 })
}

/**
 * @param text - a decimal number without a unit
 * @returns the number, or `null` if the text is not one
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
  // Dividing by 100 gives the nearest floating-point value of every percentage; multiplying by 0.01 can miss it.
  return unit === '%' ? number / 100 : number * units[unit]!
}
