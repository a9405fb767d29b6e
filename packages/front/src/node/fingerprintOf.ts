import { hash64 } from '@rattanstep/core'
import type { Intake } from '../types/intake.js'
import type { RequestBody } from './RequestBody.js'

/**
 * Tells a repeat of a request from another request with the same key.
 *
 * @param intake - head of the request
 * @param body - its body; of one that is streamed only the declared size counts
 * @returns a hash
 */
export function fingerprintOf (intake: Intake, body: RequestBody): string {
  const bytes = body.bytes
  const content = bytes === null ? String(body.declared ?? 'chunked') : hash64(bytes.toString('latin1'))
  return hash64(`${intake.method} ${intake.path} ${content}`)
}
