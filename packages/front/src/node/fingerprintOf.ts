import { hash64 } from '@rattanstep/core'
import type { ResolvedRequest } from '../types/ResolvedRequest.js'
import type { RequestBody } from './RequestBody.js'

/**
 * Tells a repeat of a request from another request with the same key.
 *
 * @param request - head of the request
 * @param body - its body; of one that is streamed only the declared size counts
 * @returns a hash
 */
export function fingerprintOf (request: ResolvedRequest, body: RequestBody): string {
  const bytes = body.bytes
  const content = bytes === null ? String(body.declared ?? 'chunked') : hash64(bytes.toString('latin1'))
  return hash64(`${request.method} ${request.path} ${content}`)
}
