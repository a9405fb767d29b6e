import { Err, Ok } from '@rattanstep/core'
import type { Finding, Result } from '@rattanstep/core'
import { MAX_TEXT_BYTES } from './readDocument.js'

/**
 * Decodes a file of operators' text. A byte order mark is kept, so that it becomes a finding later.
 *
 * @param bytes - contents of the file
 * @param options - `file`: name of the file in findings
 * @returns the text, or a finding when it is no UTF-8 or too large
 */
export function decodeText (bytes: Uint8Array, options: { file: string }): Result<string, Finding[]> {
  const place = { file: options.file, line: 1, column: 1 }
  if (bytes.length > MAX_TEXT_BYTES) {
    return Err([{ code: 'too-large', place, message: `the file has more than ${MAX_TEXT_BYTES} bytes; check that this is the right file, and remove what is not needed` }])
  }
  try {
    return Ok(new TextDecoder('utf-8', { fatal: true, ignoreBOM: true }).decode(bytes))
  } catch {
    return Err([{ code: 'binary', place, message: 'the file is no UTF-8 text; check that this is the right file and save it as UTF-8' }])
  }
}
