import { readFile } from 'node:fs/promises'
import { DEFAULT_RULES } from '@rattanstep/rules'

/** The hunt desk's sample in a checkout; an installed package does not have it. */
const SAMPLE = new URL('../../../../../examples/hunt-desk.yaml', import.meta.url)

/** @returns text of the sample rules, else of the built-in ones */
export async function sampleRules (): Promise<string> {
  try {
    return await readFile(SAMPLE, 'utf8')
  } catch {
    return DEFAULT_RULES
  }
}
