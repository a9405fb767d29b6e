import { open } from 'node:fs/promises'
import type { Finding, Result } from '@rattanstep/core'
import { decodeText, MAX_TEXT_BYTES } from '@rattanstep/rules'
import { CommandLineError } from '../types/CommandLineError.js'

/**
 * Reads a rules, settings or job file. Reads at most one byte more than the size limit, which is enough to report that
 * the file is too large.
 *
 * @param file - path of the file
 * @returns the text, or a finding if the file is too large or not UTF-8
 * @throws CommandLineError if the file cannot be read
 */
export async function readTextFile (file: string): Promise<Result<string, Finding[]>> {
  try {
    return decodeText(await readUpTo(file, MAX_TEXT_BYTES + 1), { file })
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'no code'
    throw new CommandLineError(`${file} cannot be read (${code}); give the path of a readable file`)
  }
}

/** Reads the start of a file. Does not rely on the file size, because devices and pipes have none and may never end. */
async function readUpTo (file: string, maxBytes: number): Promise<Uint8Array> {
  const handle = await open(file)
  try {
    const buffer = Buffer.alloc(maxBytes)
    let length = 0
    while (length < maxBytes) {
      const { bytesRead } = await handle.read(buffer, length, maxBytes - length, null)
      if (bytesRead === 0) break
      length += bytesRead
    }
    return buffer.subarray(0, length)
  } finally {
    await handle.close()
  }
}
