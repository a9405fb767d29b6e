const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
const DIGITS = /^\d{1,15}$/

/**
 * Reads the time at which a caller first sent a request, from a key that is a UUID of version 7 (RFC 9562, section 5.7)
 * or else from the header.
 *
 * @param key - the idempotency key
 * @param header - value of `rattanstep-first-sent` in ms since 1970, if any
 * @returns wall-clock ms, 0 when unknown, or `null` when the header is not a number
 */
export function readFirstSent (key: string, header: string | undefined): number | null {
  const uuid = UUID_V7.exec(key)
  if (uuid !== null) return Number.parseInt(uuid[1]! + uuid[2]!, 16)
  if (header === undefined) return 0
  return DIGITS.test(header) ? Number(header) : null
}
