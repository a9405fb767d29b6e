import { readFile, stat } from 'node:fs/promises'
import { Err } from '@rattanstep/core'
import type { Finding, Result } from '@rattanstep/core'
import { decodeText } from '@rattanstep/rules'
import { Misuse } from '../types/Misuse.js'

/** Larger files are not read at all. */
const MAX_FILE_BYTES = 16 * 1024 ** 2

/**
 * Reads a file of operators' text.
 *
 * @param file - path of the file
 * @returns the text, or findings when it is none
 * @throws Misuse when the file can not be read
 */
export async function readText (file: string): Promise<Result<string, Finding[]>> {
  try {
    const { size } = await stat(file)
    if (size > MAX_FILE_BYTES) {
      const message = `the file has ${size} bytes, at most ${MAX_FILE_BYTES} are read; check that this is the right file`
      return Err([{ code: 'too-large', place: { file, line: 1, column: 1 }, message }])
    }
    return decodeText(await readFile(file), { file })
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'no code'
    throw new Misuse(`${file} can not be read (${code}); give the path of a readable file`)
  }
}
