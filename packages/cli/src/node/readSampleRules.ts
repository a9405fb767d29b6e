import { readFile } from 'node:fs/promises'
import { DEFAULT_RULES } from '@rattanstep/rules'

/** The hunt desk's sample in a checkout; an installed package does not have it. */
const SAMPLE_FILE = new URL('../../../../../examples/hunt-desk.yaml', import.meta.url)

/** @returns text of the sample rules, else of the built-in ones */
export async function readSampleRules (): Promise<string> {
  try {
    return await readFile(SAMPLE_FILE, 'utf8')
  } catch {
    return DEFAULT_RULES
  }
}
