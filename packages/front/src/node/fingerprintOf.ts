import { hash64 } from '@rattanstep/core'
import type { ResolvedRequest } from '../types/ResolvedRequest.js'
import type { RequestBody } from './RequestBody.js'

/**
 * Computes a hash that distinguishes a repeat of a request from another request with the same key.
 *
 * @param request - the resolved request
 * @param body - its body; only the declared size is hashed when the body is streamed
 * @returns a hash of the method, path and body
 */
export function fingerprintOf (request: ResolvedRequest, body: RequestBody): string {
  const bytes = body.bytes
  const content = bytes === null ? String(body.declared ?? 'chunked') : hash64(bytes.toString('latin1'))
  return hash64(`${request.method} ${request.path} ${content}`)
}
