import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/**
 * Mutual proof that both ends of a connection know the shared secret, without sending it.
 */

const NONCE_BYTES = 16

/** @returns fresh random bytes */
export function makeNonce (): Buffer {
  return randomBytes(NONCE_BYTES)
}

/**
 * @param secret - the shared secret
 * @param role - which end proves itself
 * @param nonce - bytes that the other end chose
 * @param parts - names of the two ends
 * @returns the digest to send
 */
export function makeProof (secret: string, role: 'caller' | 'callee', nonce: Buffer, ...parts: string[]): Buffer {
  const hmac = createHmac('sha256', secret)
  hmac.update(JSON.stringify([role, nonce.toString('hex'), ...parts]))
  return hmac.digest()
}

/**
 * @param expected - digest worked out here
 * @param received - digest received
 * @returns whether they are the same, in constant time
 */
export function isValidProof (expected: Buffer, received: Buffer): boolean {
  return expected.length === received.length && timingSafeEqual(expected, received)
}
