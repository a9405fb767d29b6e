import { readFile } from 'node:fs/promises'
import { DEFAULT_RULES } from '@rattanstep/rules'

/** Sample rules in a checkout of the repository. The installed package does not include them. */
const SAMPLE_FILE = new URL('../../../../../examples/hunt-desk.yaml', import.meta.url)

/** @returns the text of the sample rules, or of the built-in default rules if the sample cannot be read */
export async function readSampleRules (): Promise<string> {
  try {
    return await readFile(SAMPLE_FILE, 'utf8')
  } catch {
    return DEFAULT_RULES
  }
}
