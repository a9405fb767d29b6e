import xxhash from 'xxhash-wasm'

const { h32, h64ToString } = await xxhash()

/**
 * @param text - any text
 * @returns an unsigned 32-bit hash
 */
export function hash32 (text: string): number {
  return h32(text)
}

/**
 * @param text - any text
 * @returns a 64-bit hash as 16 hexadecimal digits
 */
export function hash64 (text: string): string {
  return h64ToString(text)
}

/**
 * Rendezvous hashing: orders nodes by their weight for a key. Removing a node leaves the order of the others.
 *
 * @param key - what is to be placed
 * @param nodes - candidates
 * @returns the candidates, first choice first
 */
export function rendezvous (key: string, nodes: readonly string[]): string[] {
  return nodes
    .map(node => ({ node, weight: h32(`${node} ${key}`) }))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .map(entry => entry.node)
}
