import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/**
 * Mutual authentication: both ends of a connection prove that they know the shared secret without sending it.
 */

const NONCE_BYTES = 16

/** @returns a new random nonce */
export function makeNonce (): Buffer {
  return randomBytes(NONCE_BYTES)
}

/**
 * Computes the digest by which one end proves that it knows the secret.
 *
 * @param secret - the shared secret
 * @param role - which end sends the proof
 * @param nonce - nonce of the other end
 * @param parts - incarnations of the two ends, the end that sends the proof first
 * @returns the digest to send
 */
export function makeProof (secret: string, role: 'caller' | 'callee', nonce: Buffer, ...parts: string[]): Buffer {
  const hmac = createHmac('sha256', secret)
  hmac.update(JSON.stringify([role, nonce.toString('hex'), ...parts]))
  return hmac.digest()
}

/**
 * Compares two digests in constant time.
 *
 * @param expected - digest computed locally
 * @param received - digest received
 * @returns whether they are equal
 */
export function isValidProof (expected: Buffer, received: Buffer): boolean {
  return expected.length === received.length && timingSafeEqual(expected, received)
}
