/** Odd number close to 2³² divided by the golden ratio; spreads texts that differ only in their last character over the whole range. */
const HASH_MULTIPLIER = 2_654_435_761

/**
 * @param text - a name or an id
 * @returns an integer from 0 to 2³² - 1 that is the same in every process
 */
export function hashText (text: string): number {
  let hash = 0
  for (let index = 0; index < text.length; index++) hash = (hash * 31 + text.charCodeAt(index)) >>> 0
  return hash
}

/**
 * @param text - a name or an id
 * @returns a fraction from 0 (inclusive) to 1 (exclusive) that is the same in every process
 */
export function hashFraction (text: string): number {
  return (Math.imul(hashText(text), HASH_MULTIPLIER) >>> 0) / 2 ** 32
}

/**
 * @param first - an integer hash
 * @param second - an integer hash
 * @returns an integer from 0 to 2³² - 1, of which each bit depends on both hashes, even if the hashed names differ in one character only
 */
export function mixHashes (first: number, second: number): number {
  let mixed = Math.imul(first ^ Math.imul(second, HASH_MULTIPLIER), HASH_MULTIPLIER)
  mixed = Math.imul(mixed ^ (mixed >>> 15), HASH_MULTIPLIER)
  return (mixed ^ (mixed >>> 13)) >>> 0
}
