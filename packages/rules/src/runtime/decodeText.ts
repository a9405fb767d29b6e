import { Err, Ok } from '@rattanstep/core'
import type { Finding, Result } from '@rattanstep/core'
import { MAX_TEXT_BYTES } from './readDocument.js'

/**
 * Decodes a file of rules, settings or a job. Keeps a byte order mark, so that the parser reports it as a finding.
 *
 * @param bytes - contents of the file
 * @param options - `file`: file name that findings give
 * @returns the text, or a finding if the file is not UTF-8 or is too large
 */
export function decodeText (bytes: Uint8Array, options: { file: string }): Result<string, Finding[]> {
  const place = { file: options.file, line: 1, column: 1 }
  if (bytes.length > MAX_TEXT_BYTES) {
    return Err([{ code: 'too-large', place, message: `the file is larger than ${MAX_TEXT_BYTES} bytes; check that this is the right file, and remove what is not needed` }])
  }
  try {
    return Ok(new TextDecoder('utf-8', { fatal: true, ignoreBOM: true }).decode(bytes))
  } catch {
    return Err([{ code: 'binary', place, message: 'the file is not valid UTF-8; check that this is the right file and save it as UTF-8' }])
  }
}
