import xxhash from 'xxhash-wasm'

const { h32, h64ToString } = await xxhash()

/**
 * @param text - text to hash
 * @returns an unsigned 32-bit hash
 */
export function hash32 (text: string): number {
  return h32(text)
}

/**
 * @param text - text to hash
 * @returns a 64-bit hash as 16 hexadecimal digits
 */
export function hash64 (text: string): string {
  return h64ToString(text)
}

/**
 * Orders nodes for a key by rendezvous hashing. Removing a node does not change the order of the others.
 *
 * @param key - key to place
 * @param nodes - candidates
 * @returns the candidates in order of preference
 */
export function rankNodes (key: string, nodes: readonly string[]): string[] {
  return nodes
    .map(node => ({ node, weight: h32(`${node} ${key}`) }))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .map(entry => entry.node)
}
