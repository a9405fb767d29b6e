import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'

const MAX_OUTPUT_BYTES = 10_000_000

/**
 * Runs a share of the seeds in a separate process, without the hooks of node:test on every promise.
 *
 * @param share - number of the share, from 0
 * @returns the failures, one line each
 */
export async function runRandomFaultsApart (share: number): Promise<string[]> {
  const { NODE_TEST_CONTEXT: _, ...env } = process.env
  const { stdout } = await promisify(execFile)(process.execPath, [fileURLToPath(new URL('randomFaultsProcess.js', import.meta.url)), String(share)], { maxBuffer: MAX_OUTPUT_BYTES, env })
  const lines = stdout.trimEnd().split('\n')
  for (const line of lines.slice(0, -1)) console.log(line)
  return (JSON.parse(lines.at(-1)!) as { failures: string[] }).failures
}
