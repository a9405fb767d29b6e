import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'

const OUTPUT_MAX = 10_000_000

/**
 * Runs a share of the seeds in a process of its own.
 *
 * @returns the failures
 */
export async function runStormsApart (share: number): Promise<string[]> {
  const { NODE_TEST_CONTEXT: _, ...env } = process.env
  const { stdout } = await promisify(execFile)(process.execPath, [fileURLToPath(new URL('stormProcess.js', import.meta.url)), String(share)], { maxBuffer: OUTPUT_MAX, env })
  const lines = stdout.trimEnd().split('\n')
  for (const line of lines.slice(0, -1)) console.log(line)
  return (JSON.parse(lines.at(-1)!) as { failures: string[] }).failures
}
