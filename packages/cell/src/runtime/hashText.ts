/** Odd number near 2³² divided by the golden ratio: spreads texts that differ in their last letter over the whole range. */
const HASH_MULTIPLIER = 2_654_435_761

/**
 * @param text - a name or an id
 * @returns a whole number from 0 to 2³² - 1 that is the same in every process
 */
export function hashText (text: string): number {
  let hash = 0
  for (let index = 0; index < text.length; index++) hash = (hash * 31 + text.charCodeAt(index)) >>> 0
  return hash
}

/**
 * @param text - a name or an id
 * @returns a share from 0 to 1 that is the same in every process
 */
export function hashShare (text: string): number {
  return (Math.imul(hashText(text), HASH_MULTIPLIER) >>> 0) / 2 ** 32
}
