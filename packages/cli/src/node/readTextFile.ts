import { open } from 'node:fs/promises'
import type { Finding, Result } from '@rattanstep/core'
import { decodeText, MAX_TEXT_BYTES } from '@rattanstep/rules'
import { CommandLineError } from '../types/CommandLineError.js'

/**
 * Reads a file of operators' text, or as much of it as shows that it is too large.
 *
 * @param file - path of the file
 * @returns the text, or findings when it is none
 * @throws Misuse when the file can not be read
 */
export async function readTextFile (file: string): Promise<Result<string, Finding[]>> {
  try {
    return decodeText(await readUpTo(file, MAX_TEXT_BYTES + 1), { file })
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'no code'
    throw new CommandLineError(`${file} can not be read (${code}); give the path of a readable file`)
  }
}

/** Devices and pipes have no size and may never end. */
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
